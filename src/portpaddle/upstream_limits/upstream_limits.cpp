// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/upstream_limits.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/gateway/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// Requests a second: smaller shares are seldom used up by the callers of one daemon, and each holder adds its one request at once
// to a window.
constexpr double leastShare = 1;
// After its need an upstream is asked twice as often each second, until this time has passed. It looks idle, and all daemons at
// once would bring it back to where it was.
constexpr std::chrono::seconds recovery{ 5 };
// Between two records of one upstream; changes gather for half a second before other daemons see them.
constexpr std::chrono::seconds betweenWrites{ 3 };
// Daemons write a record one after the other, until one of them has.
constexpr std::chrono::milliseconds writeStagger{ 1'500 };
// Of the rate: a record that differs less is as good, as starting daemons hear the newest rate soon.
constexpr double storedPrecision = 0.1;
constexpr std::chrono::seconds betweenUnreadableLines{ 10 };
// An older word is told as one of this age.
constexpr std::int64_t longestAgeMs = 3'600'000;

std::int64_t millisOf(SteadyTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Requests a second that may be sent to an upstream with @p limit.
double rateAt(const KnownLimit &limit, SteadyTime now)
{
    return limit.ended ? limit.perSecond * std::exp2(inSeconds(now - limit.since)) : limit.perSecond;
}

Wire::UpstreamLimit toWire(std::uint64_t key, const KnownLimit &limit, SteadyTime now)
{
    const std::int64_t age = std::clamp<std::int64_t>(millisOf(now - limit.saidAt), 0, longestAgeMs);
    return { key, static_cast<float>(limit.perSecond), static_cast<std::uint32_t>(age), limit.ended };
}

} // namespace

unsigned holdersOf(double perSecond, std::size_t members)
{
    const double shares = std::floor(perSecond / leastShare);
    return static_cast<unsigned>(std::clamp(shares, 1.0, std::max(1.0, static_cast<double>(members))));
}

UpstreamLimits::UpstreamLimits(LimitScope scope, StableOwner &owners, Metrics &metrics)
    : scope_(std::move(scope)), owners_(owners), metrics_(metrics)
{
}

void UpstreamLimits::setWriteRecord(WriteRecord write)
{
    write_ = std::move(write);
}

void UpstreamLimits::setView(std::shared_ptr<const FleetView> view, SteadyTime now)
{
    view_ = std::move(view);
    names_.clear();
    for (const auto &[id, upstream] : view_->upstreams) {
        if (upstream.region == scope_.region) {
            names_.emplace(stableHash(id), id);
        }
    }
    links_.clear();
    for (const DaemonRecord &daemon : view_->daemons) {
        if (daemon.region == scope_.region && daemon.id != scope_.daemon) {
            links_.push_back(daemon.linkAddress);
        }
    }
    forgetGone();
    for (const auto &[key, perSecond] : view_->upstreamLimits) {
        if (names_.contains(key)) {
            note(key, book_.stored(key, perSecond, now), now);
        }
    }
}

/// A later life of an upstream has named nothing, and what only a record said goes with the record.
void UpstreamLimits::forgetGone()
{
    std::vector<std::uint64_t> gone;
    for (const auto &[key, limit] : book_.all()) {
        const bool lapsed = limit.onlyStored && !view_->upstreamLimits.contains(key);
        if (!names_.contains(key) || lapsed) {
            gone.push_back(key);
        }
    }
    for (const std::uint64_t key : gone) {
        book_.forget(key);
        teller_.forget(key);
        paces_.erase(key);
        writtenAt_.erase(key);
    }
    std::erase_if(unreadableAt_, [this](const auto &item) { return !names_.contains(item.first); });
}

void UpstreamLimits::answered(const std::string &upstream, const LimitReading &reading, bool own, SteadyTime sentAt,
                              SteadyTime now)
{
    const std::uint64_t key = stableHash(upstream);
    if (!names_.contains(key)) {
        return;
    }
    LimitChange change = LimitChange::None;
    switch (reading.word) {
    case LimitKind::Named:
        change = book_.named(key, reading.perSecond, now);
        break;
    case LimitKind::Absent:
        change = own ? book_.answeredWithout(key, sentAt, now) : LimitChange::None;
        break;
    case LimitKind::Unreadable: {
        metrics_.count(Counter::LimitsUnreadable);
        const auto [last, first] = unreadableAt_.try_emplace(key, now);
        if (first || now - last->second >= betweenUnreadableLines) {
            last->second = now;
            logEvent(LogEvent::UpstreamLimitUnreadable, { { "upstream", upstream } });
        }
        break;
    }
    }
    if (change != LimitChange::None) {
        teller_.changed(key, now);
    }
    note(key, change, now);
}

void UpstreamLimits::note(std::uint64_t key, LimitChange change, SteadyTime now)
{
    if (change == LimitChange::None) {
        return;
    }
    const KnownLimit &limit = *book_.find(key);
    const bool ended = change == LimitChange::Ended;
    metrics_.count(ended ? Counter::LimitsEnded : Counter::LimitsNamed);
    const double share = paceAt(key, limit, now).perSecond();
    logEvent(ended ? LogEvent::UpstreamLimitEnded : LogEvent::UpstreamLimitNamed,
             { { "upstream", names_.at(key) },
               { "per_second", fmt::format("{:.3f}", limit.perSecond) },
               { "own_share", fmt::format("{:.3f}", share) },
               { "heard_from", limit.source },
               { "said_ms_ago", limit.onlyStored ? std::string() : std::to_string(millisOf(now - limit.saidAt)) } });
}

std::optional<UpstreamLimits::Limited> UpstreamLimits::inForce(const std::string &upstream, SteadyTime now) const
{
    // Almost always no upstream has a limit, and each choice asks for many of them.
    if (book_.all().empty()) {
        return std::nullopt;
    }
    const std::uint64_t key = stableHash(upstream);
    const KnownLimit *limit = book_.find(key);
    const bool over = limit == nullptr || (limit->ended && now - limit->since >= recovery);
    return over ? std::nullopt : std::optional<Limited>({ key, *limit });
}

// A rate of the whole region is held by so many of its daemons that each can use its share: equal parts of all daemons would
// bring as many requests at once as there are daemons, however small the rate. Who holds a share follows from the list alone; a
// daemon that starts holds none until the others have seen it on their lists.
LimitPace &UpstreamLimits::paceAt(std::uint64_t key, const KnownLimit &limit, SteadyTime now)
{
    const double rate = rateAt(limit, now);
    const unsigned holders = holdersOf(rate, owners_.members());
    const bool holds = owners_.isAmong(key, holders, now);
    LimitPace &pace = paces_.try_emplace(key, now).first->second;
    pace.setRate(holds ? rate / holders : 0, now);
    return pace;
}

bool UpstreamLimits::isLimited(const std::string &upstream, SteadyTime now) const
{
    return inForce(upstream, now).has_value();
}

bool UpstreamLimits::allows(const std::string &upstream, SteadyTime now)
{
    const std::optional<Limited> limited = inForce(upstream, now);
    return !limited || paceAt(limited->key, limited->limit, now).ready();
}

void UpstreamLimits::take(const std::string &upstream, SteadyTime now)
{
    if (const std::optional<Limited> limited = inForce(upstream, now)) {
        paceAt(limited->key, limited->limit, now).take();
    }
}

std::optional<SteadyTime::duration> UpstreamLimits::nextSendDelay(std::span<const std::string *const> upstreams,
                                                                  std::size_t ahead, SteadyTime now)
{
    double perSecond = 0;
    SteadyTime::duration soonest = SteadyTime::duration::max();
    for (const std::string *upstream : upstreams) {
        if (const std::optional<Limited> limited = inForce(*upstream, now)) {
            const LimitPace &pace = paceAt(limited->key, limited->limit, now);
            perSecond += pace.perSecond();
            soonest = std::min(soonest, pace.wait());
        }
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> others(static_cast<double>(ahead) / perSecond);
    return soonest + std::chrono::duration_cast<SteadyTime::duration>(others);
}

std::optional<SteadyTime::duration> UpstreamLimits::interval(std::span<const std::string *const> upstreams, SteadyTime now) const
{
    double perSecond = 0;
    for (const std::string *upstream : upstreams) {
        const std::optional<Limited> limited = inForce(*upstream, now);
        perSecond += limited ? rateAt(limited->limit, now) : 0;
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
}

void UpstreamLimits::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    // Upstreams take connections from their own region alone: whatever another region says of them is not its own knowledge.
    if (digest.region != scope_.region) {
        return;
    }
    for (const Wire::UpstreamLimit &told : digest.upstream_limits) {
        const std::uint64_t key = told.upstream();
        KnownLimit limit;
        limit.perSecond = boundedRate(told.per_second());
        if (!names_.contains(key) || std::isnan(limit.perSecond)) {
            continue;
        }
        limit.ended = told.ended();
        limit.saidAt = now - std::chrono::milliseconds(told.age_ms());
        limit.source = digest.daemon;
        note(key, book_.told(key, limit, now), now);
        const KnownLimit *known = book_.find(key);
        if (known != nullptr && sameTerms(*known, limit)) {
            teller_.heardSame(key, now);
        } else if (known != nullptr) {
            // The sender has missed what this daemon knows.
            teller_.changed(key, now);
        }
    }
}

std::vector<OutgoingDigest> UpstreamLimits::dueDigests(const Wire::LoadDigestT &header, SteadyTime now)
{
    std::vector<OutgoingDigest> out;
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::UpstreamLimits;
    const auto send = [&] {
        if (!digest.upstream_limits.empty() && !links_.empty()) {
            out.push_back({ links_, digest });
        }
        digest.upstream_limits.clear();
    };
    for (const auto &[key, limit] : book_.all()) {
        if (limit.onlyStored) {
            // All others have the record as well.
            continue;
        }
        // What has ended is told when it ends, and to those that did not hear it.
        const bool tells = limit.ended ? teller_.dueOnce(key) : teller_.due(key, { owners_.rank(key), owners_.members() }, now);
        if (!tells) {
            continue;
        }
        digest.upstream_limits.push_back(toWire(key, limit, now));
        if (digest.upstream_limits.size() == maxDigestUpstreamLimits) {
            send();
        }
    }
    send();
    return out;
}

void UpstreamLimits::tick(SteadyTime now)
{
    if (!book_.all().empty()) {
        writeDue(now);
    }
}

bool UpstreamLimits::isStored(std::uint64_t key, const KnownLimit &limit) const
{
    const auto stored = view_->upstreamLimits.find(key);
    const double has = stored == view_->upstreamLimits.end() ? 0 : stored->second;
    const double wanted = limit.ended ? 0 : limit.perSecond;
    return std::abs(has - wanted) <= storedPrecision * std::max(has, wanted);
}

/// Daemons that start all at once can learn of limits from the platform only.
void UpstreamLimits::writeDue(SteadyTime now)
{
    if (!write_ || !view_) {
        return;
    }
    for (const auto &[key, limit] : book_.all()) {
        SteadyTime &writtenAt = writtenAt_[key];
        const auto stagger = writeStagger * static_cast<int>(owners_.rank(key));
        const bool waits = now < limit.since + stagger || now < writtenAt + betweenWrites + stagger;
        if (limit.onlyStored || isStored(key, limit) || waits) {
            continue;
        }
        writtenAt = now;
        write_({ key, limit.ended ? 0 : limit.perSecond });
    }
}

} // namespace Portpaddle
