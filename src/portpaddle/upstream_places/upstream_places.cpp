// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_places/upstream_places.h"

#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Portpaddle {

namespace {

constexpr std::size_t maxQuestions = 2'048;
// Daemons of one region answer within a few milliseconds unless they have ended. One datagram in ten may be lost.
constexpr Millis replyWait{ 15 };
constexpr unsigned maxAsks = 2;
// A place becomes free each few milliseconds at a busy upstream; each question to another daemon costs two datagrams.
constexpr Millis deniedPause{ 5 };
constexpr Millis ownDeniedPause{ 1 };
// A daemon that does not reply may have ended; another one takes over when the others notice it.
constexpr Millis unansweredPause{ 200 };
// The lower half of a token. Places of requests that asked for none are counted from here.
constexpr std::uint64_t firstUnaskedToken = 0x8000'0000;

template<typename Number>
std::uint16_t toWire(Number number)
{
    return static_cast<std::uint16_t>(std::clamp<Number>(number, 0, std::numeric_limits<std::uint16_t>::max()));
}

Wire::PlaceNote noteOf(const std::string &upstream, PlaceToken token, double borne, Wire::PlaceStep step,
                       const Rejection &rejection = {})
{
    return { stableHash(upstream),
             token,
             static_cast<float>(borne),
             toWire(rejection.room.value_or(0)),
             toWire(rejection.delay.count()),
             step };
}

} // namespace

UpstreamPlaces::UpstreamPlaces(Executor executor, std::string ownId, std::string ownRegion, StableOwner &owners,
                               std::uint64_t firstToken)
    : executor_(executor)
    , ownId_(std::move(ownId))
    , ownRegion_(std::move(ownRegion))
    , owners_(owners)
    , tokens_(firstToken % firstUnaskedToken)
{
}

void UpstreamPlaces::setSend(Send send)
{
    send_ = std::move(send);
}

void UpstreamPlaces::setView(std::shared_ptr<const FleetView> view)
{
    const std::shared_ptr<const FleetView> earlier = std::exchange(view_, std::move(view));
    view_->upstreams.forEachChangedShard(earlier->upstreams, [this](const auto &shard, const auto &earlierShard) {
        for (const auto &[id, upstream] : earlierShard) {
            if (!shard.contains(id)) {
                upstreams_.erase(stableHash(id));
                fullUntil_.erase(id);
            }
        }
        for (const auto &[id, upstream] : shard) {
            if (upstream.region == ownRegion_) {
                upstreams_.try_emplace(stableHash(id), id);
            }
        }
    });
    ledger_.keepOnly([this](std::uint64_t upstream) { return upstreams_.contains(upstream); });
    if (!view_->daemons.sharesWith(earlier->daemons)) {
        links_.clear();
        for (const DaemonRecord &daemon : view_->daemons) {
            if (daemon.region == ownRegion_) {
                links_.emplace(stableHash(daemon.id), daemon.linkAddress);
            }
        }
    }
}

bool UpstreamPlaces::seemsFull(const std::string &upstream, SteadyTime now) const
{
    const auto found = fullUntil_.find(upstream);
    return found != fullUntil_.end() && now < found->second;
}

std::optional<std::string> UpstreamPlaces::ownerOf(std::uint64_t upstream) const
{
    const std::optional<std::uint64_t> owner = owners_.first(upstream);
    if (owner == stableHash(ownId_)) {
        return std::string();
    }
    const auto link = owner ? links_.find(*owner) : links_.end();
    return link == links_.end() ? std::nullopt : std::optional(link->second);
}

/// Returns the upper half of the tokens of this daemon.
PlaceToken UpstreamPlaces::ownTokens() const
{
    return stableHash(ownId_) & ~PlaceToken{ std::numeric_limits<std::uint32_t>::max() };
}

PlaceToken UpstreamPlaces::nextToken()
{
    return ownTokens() | (++tokens_ % firstUnaskedToken);
}

Task<std::optional<HeldPlace>> UpstreamPlaces::take(std::string upstream, double borne)
{
    const HeldPlace place{ upstream, nextToken(), borne };
    const Wire::PlaceNote note = noteOf(upstream, place.token, borne, Wire::PlaceStep::Asked);
    const std::optional<std::string> owner = ownerOf(note.upstream());
    const SteadyTime now = BootClock::now();
    std::optional<bool> granted;
    const bool isOwn = owner && owner->empty();
    if (isOwn) {
        granted = owners_.owns(note.upstream(), now) && ledger_.apply(note, now).value_or(false);
    } else if (owner && questions_.size() < maxQuestions) {
        granted = co_await ask(*owner, note);
    }
    if (!granted.value_or(false)) {
        SteadyTime &until = fullUntil_[upstream];
        const Millis pause = isOwn ? ownDeniedPause : granted ? deniedPause : unansweredPause;
        until = std::max(until, BootClock::now() + pause);
        co_return std::nullopt;
    }
    held_.emplace(place.token, place);
    co_return place;
}

Task<std::optional<bool>> UpstreamPlaces::ask(const std::string &owner, const Wire::PlaceNote &note)
{
    const auto question = std::make_shared<Question>(executor_);
    questions_.emplace(note.token(), question);
    for (unsigned asks = 0; asks < maxAsks && !question->granted; ++asks) {
        question->answered.expires_after(replyWait);
        send(owner, { note });
        NetError ignored;
        co_await question->answered.async_wait(awaitingInto(ignored));
    }
    questions_.erase(note.token());
    if (!question->granted) {
        // The place may have been granted by a reply that was lost.
        tell({ note.upstream(), note.token(), note.borne(), 0, 0, Wire::PlaceStep::Ended });
    }
    co_return question->granted;
}

void UpstreamPlaces::release(const HeldPlace &place, PlaceEnd end)
{
    if (held_.erase(place.token) > 0) {
        const Wire::PlaceStep step = end == PlaceEnd::Answered ? Wire::PlaceStep::Answered : Wire::PlaceStep::Ended;
        tell(noteOf(place.upstream, place.token, place.borne, step));
    }
}

void UpstreamPlaces::reject(const HeldPlace &place, const Rejection &rejection)
{
    held_.erase(place.token);
    tell(noteOf(place.upstream, place.token, place.borne, Wire::PlaceStep::Rejected, rejection));
}

void UpstreamPlaces::rejectedWithoutPlace(const std::string &upstream, double borne, const Rejection &rejection)
{
    tell(noteOf(upstream, nextToken(), borne, Wire::PlaceStep::Rejected, rejection));
}

void UpstreamPlaces::tell(const Wire::PlaceNote &note)
{
    tellAll({ note });
}

void UpstreamPlaces::send(const std::string &link, std::vector<Wire::PlaceNote> notes)
{
    Wire::LoadDigestT digest;
    digest.daemon = ownId_;
    digest.region = ownRegion_;
    digest.kind = Wire::DigestKind::UpstreamPlaces;
    digest.places = std::move(notes);
    send_({ { link }, std::move(digest) });
}

// Only listed daemons of the region are answered, so that a datagram with a forged sender reaches nobody else.
void UpstreamPlaces::apply(const Wire::LoadDigestT &digest, SteadyTime now)
{
    const auto link = links_.find(stableHash(digest.daemon));
    if (link == links_.end()) {
        return;
    }
    std::vector<Wire::PlaceNote> replies;
    for (const Wire::PlaceNote &note : digest.places) {
        answer(note, now, replies);
    }
    if (!replies.empty()) {
        send(link->second, std::move(replies));
    }
}

void UpstreamPlaces::answer(const Wire::PlaceNote &note, SteadyTime now, std::vector<Wire::PlaceNote> &replies)
{
    if (note.step() == Wire::PlaceStep::Granted || note.step() == Wire::PlaceStep::Denied) {
        const auto question = questions_.find(note.token());
        if (question != questions_.end()) {
            question->second->granted = note.step() == Wire::PlaceStep::Granted;
            question->second->answered.cancel();
        }
        return;
    }
    if (!upstreams_.contains(note.upstream())) {
        return;
    }
    const bool asks = note.step() == Wire::PlaceStep::Asked;
    const bool denies = asks && !owners_.owns(note.upstream(), now);
    const std::optional<bool> granted = denies ? std::optional(false) : ledger_.apply(note, now);
    if (granted) {
        const Wire::PlaceStep step = *granted ? Wire::PlaceStep::Granted : Wire::PlaceStep::Denied;
        replies.emplace_back(note.upstream(), note.token(), note.borne(), 0, 0, step);
    }
}

void UpstreamPlaces::confirm(const std::map<std::string, double> &brittleUpstreams, const RunningAt &runningAt)
{
    std::map<std::string, unsigned> held;
    std::vector<Wire::PlaceNote> notes;
    for (const auto &[token, place] : held_) {
        ++held[place.upstream];
        notes.push_back(noteOf(place.upstream, token, place.borne, Wire::PlaceStep::Held));
    }
    for (const auto &[upstream, borne] : brittleUpstreams) {
        const unsigned running = runningAt(upstream);
        const unsigned unasked = running - std::min(running, held[upstream]);
        for (unsigned index = 0; index < unasked; ++index) {
            notes.push_back(noteOf(upstream, ownTokens() | (firstUnaskedToken + index), borne, Wire::PlaceStep::Held));
        }
    }
    tellAll(notes);
}

void UpstreamPlaces::tellAll(const std::vector<Wire::PlaceNote> &notes)
{
    std::map<std::string, std::vector<Wire::PlaceNote>> byOwner;
    for (const Wire::PlaceNote &note : notes) {
        const std::optional<std::string> owner = ownerOf(note.upstream());
        if (owner && owner->empty()) {
            ledger_.apply(note, BootClock::now());
        } else if (owner) {
            byOwner[*owner].push_back(note);
        }
    }
    for (const auto &[owner, all] : byOwner) {
        for (std::size_t begin = 0; begin < all.size(); begin += maxDigestPlaces) {
            const std::size_t end = std::min(all.size(), begin + maxDigestPlaces);
            send(owner, { all.begin() + static_cast<std::ptrdiff_t>(begin), all.begin() + static_cast<std::ptrdiff_t>(end) });
        }
    }
}

void UpstreamPlaces::tick(SteadyTime now)
{
    ledger_.tick(now);
    std::erase_if(fullUntil_, [now](const auto &item) { return item.second < now; });
}

} // namespace Portpaddle
