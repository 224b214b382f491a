// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/brittle_region.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <string>

namespace Portpaddle {

namespace {

constexpr BrittleRegion::Millis runTime{ 100 };
constexpr BrittleRegion::Millis oneWay{ 1 };
constexpr BrittleRegion::Millis replyWait{ 30 };
constexpr BrittleRegion::Millis deniedPause{ 5 };
constexpr BrittleRegion::Millis ownDeniedPause{ 1 };
constexpr BrittleRegion::Millis pollInterval{ 20 };
constexpr BrittleRegion::Millis longestWait{ 200 };
constexpr BrittleRegion::Millis confirmInterval{ 100 };
constexpr BrittleRegion::Millis backAfter{ 2'500 };
constexpr unsigned maxDenials = 4;

} // namespace

BrittleRegion::BrittleRegion(const BrittleRegionTerms &terms) : terms_(terms), random_(terms.seed), daemons_(terms.daemons)
{
    for (std::size_t index = 0; index < terms.upstreams; ++index) {
        upstreams_.emplace_back().id = stableHash("u" + std::to_string(index) + "-0");
    }
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        const std::string name = "d" + std::to_string(index);
        daemons_[index].id = stableHash(name);
        daemons_[index].owners = std::make_unique<StableOwner>(name);
        daemons_[index].ledger = std::make_unique<PlaceLedger>();
        indexes_[daemons_[index].id] = index;
    }
    setMembers();
    at(now_ + confirmInterval, [this] { confirmAll(); });
}

void BrittleRegion::setMembers()
{
    std::vector<std::uint64_t> members;
    for (const Daemon &daemon : daemons_) {
        members.push_back(daemon.id);
    }
    for (Daemon &daemon : daemons_) {
        daemon.owners->setMembers(members, now_);
    }
}

void BrittleRegion::setRoom(std::size_t room)
{
    room_ = room;
}

void BrittleRegion::setBrittle()
{
    isBrittle_ = true;
    worstSecond_ = 0;
    for (Upstream &upstream : upstreams_) {
        upstream.rejections.clear();
    }
}

std::size_t BrittleRegion::falls() const
{
    return falls_;
}

std::size_t BrittleRegion::worstSecond() const
{
    return worstSecond_;
}

void BrittleRegion::at(SteadyTime time, std::function<void()> action)
{
    events_.emplace(time, std::move(action));
}

void BrittleRegion::datagram(std::size_t to, std::function<void(Daemon &)> action)
{
    if (std::uniform_real_distribution<>(0, 1)(random_) >= terms_.lost) {
        at(now_ + oneWay, [this, to, action = std::move(action)] { action(daemons_[to]); });
    }
}

std::size_t BrittleRegion::ownerOf(const Daemon &daemon, std::uint64_t upstream) const
{
    return indexes_.at(*daemon.owners->first(upstream));
}

unsigned BrittleRegion::run(Millis time, double perSecond)
{
    const unsigned before = served_;
    const SteadyTime end = now_ + time;
    std::exponential_distribution<> gap(perSecond);
    std::uniform_int_distribution<std::size_t> any(0, daemons_.size() - 1);
    for (SteadyTime next = now_; next < end;
         next += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(gap(random_)))) {
        const std::size_t daemon = any(random_);
        at(next, [this, daemon] { place({ daemon, daemons_[daemon].life, now_ }); });
    }
    while (!events_.empty() && events_.begin()->first < end) {
        const auto first = events_.begin();
        now_ = first->first;
        const std::function<void()> action = std::move(first->second);
        events_.erase(first);
        action();
    }
    now_ = end;
    return served_ - before;
}

void BrittleRegion::place(Request request)
{
    Daemon &daemon = daemons_[request.daemon];
    if (daemon.life != request.life) {
        return;
    }
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
        const auto full = daemon.fullUntil.find(upstreams_[index].id);
        if (upstreams_[index].isUp && (full == daemon.fullUntil.end() || full->second <= now_)) {
            usable.push_back(index);
        }
    }
    if (usable.empty() || request.denials == maxDenials) {
        request.denials = 0;
        if (now_ - request.arrivedAt < longestWait) {
            at(now_ + pollInterval, [this, request] { place(request); });
        }
        return;
    }
    const std::size_t chosen = usable[random_() % usable.size()];
    const std::uint64_t id = upstreams_[chosen].id;
    const PlaceToken token = ++tokens_;
    if (!daemon.knowsBrittle) {
        send(request, chosen, id, 0);
        return;
    }
    const Wire::PlaceNote note(id, token, static_cast<float>(terms_.borne), 0, 0, Wire::PlaceStep::Asked);
    const auto answered = std::make_shared<bool>(false);
    const std::size_t owner = ownerOf(daemon, id);
    datagram(owner, [=, this](Daemon &asked) {
        const bool granted = asked.owners->owns(id, now_) && asked.ledger->apply(note, now_).value_or(false);
        datagram(request.daemon, [=, this](Daemon &asking) {
            if (asking.life != request.life || *answered) {
                return;
            }
            *answered = true;
            if (granted) {
                asking.held.emplace(token, id);
                send(request, chosen, id, token);
            } else {
                deny(request, id);
            }
        });
    });
    at(now_ + replyWait, [=, this] {
        if (!std::exchange(*answered, true)) {
            tell(request.daemon, id, token, Wire::PlaceStep::Ended);
            deny(request, id);
        }
    });
}

void BrittleRegion::deny(Request request, std::uint64_t upstream)
{
    const bool isOwn = ownerOf(daemons_[request.daemon], upstream) == request.daemon;
    daemons_[request.daemon].fullUntil[upstream] = now_ + (isOwn ? ownDeniedPause : deniedPause);
    ++request.denials;
    place(request);
}

void BrittleRegion::send(const Request &request, std::size_t upstream, std::uint64_t id, PlaceToken token)
{
    at(now_ + oneWay, [=, this] {
        Upstream &reached = upstreams_[upstream];
        const bool isSame = reached.isUp && reached.id == id;
        const bool runs = isSame && reached.running < room_;
        reached.running += runs ? 1 : 0;
        if (isSame && !runs) {
            reject(reached);
        }
        at(now_ + (runs ? runTime : Millis(0)) + oneWay, [=, this] {
            Daemon &daemon = daemons_[request.daemon];
            const bool isLost = !upstreams_[upstream].isUp || upstreams_[upstream].id != id;
            if (runs && !isLost) {
                --upstreams_[upstream].running;
            }
            if (daemon.life != request.life) {
                return;
            }
            served_ += runs && !isLost ? 1 : 0;
            if (isBrittle_ && !isLost) {
                hear(request.daemon);
            }
            const Wire::PlaceStep step = isLost ? Wire::PlaceStep::Ended
                : runs                          ? Wire::PlaceStep::Answered
                                                : Wire::PlaceStep::Rejected;
            daemon.held.erase(token);
            tell(request.daemon, id, token, step);
        });
    });
}

void BrittleRegion::reject(Upstream &upstream)
{
    upstream.rejections.push_back(now_);
    while (now_ - upstream.rejections.front() >= std::chrono::seconds(1)) {
        upstream.rejections.pop_front();
    }
    worstSecond_ = std::max(worstSecond_, upstream.rejections.size());
    if (isBrittle_ && static_cast<double>(upstream.rejections.size()) > terms_.borne) {
        fall(static_cast<std::size_t>(&upstream - upstreams_.data()));
    }
}

void BrittleRegion::fall(std::size_t index)
{
    ++falls_;
    Upstream &upstream = upstreams_[index];
    upstream.isUp = false;
    at(now_ + backAfter, [this, index] {
        Upstream &back = upstreams_[index];
        back.isUp = true;
        back.running = 0;
        back.rejections.clear();
        back.id = stableHash("u" + std::to_string(index) + "-" + std::to_string(++back.incarnation));
    });
}

/// The first daemon that reads that the upstreams are brittle tells the others at once.
void BrittleRegion::hear(std::size_t daemon)
{
    if (std::exchange(daemons_[daemon].knowsBrittle, true)) {
        return;
    }
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
        datagram(other, [](Daemon &told) { told.knowsBrittle = true; });
    }
}

void BrittleRegion::tell(std::size_t daemon, std::uint64_t upstream, PlaceToken token, Wire::PlaceStep step)
{
    const Wire::PlaceNote note(upstream, token, static_cast<float>(terms_.borne), 0, 0, step);
    datagram(ownerOf(daemons_[daemon], upstream), [this, note](Daemon &owner) { owner.ledger->apply(note, now_); });
}

void BrittleRegion::confirmAll()
{
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        for (const auto &[token, upstream] : daemons_[index].held) {
            tell(index, upstream, token, Wire::PlaceStep::Held);
        }
        daemons_[index].ledger->tick(now_);
    }
    at(now_ + confirmInterval, [this] { confirmAll(); });
}

// The other daemons tell a starting one within a digest interval what they know; where all start, the platform does.
void BrittleRegion::restart(std::size_t index)
{
    Daemon &daemon = daemons_[index];
    ++daemon.life;
    daemon.held.clear();
    daemon.fullUntil.clear();
    daemon.owners = std::make_unique<StableOwner>("d" + std::to_string(index));
    daemon.ledger = std::make_unique<PlaceLedger>();
    setMembers();
}

} // namespace Portpaddle
