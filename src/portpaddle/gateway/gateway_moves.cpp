// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Runs that are moved away from upstreams that end soon, or handed over because this daemon does.

#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/gateway/gateway.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Copies from one upstream queue on its link; a second order fills the time in which the first one's answer is under way.
constexpr std::size_t maxCopiesFromUpstream = 2;
// Weight of the newest move in the recent time of a move.
constexpr double newestMoveShare = 0.5;
// A daemon that stops hands a run over within this time or not at all.
constexpr std::chrono::milliseconds maxHandOverTime{ 1'500 };

} // namespace

void Gateway::moveEndingRuns(SteadyTime now)
{
    if (orders_ == nullptr || !policy_.moves) {
        return;
    }
    const bool stops = stop_ && now + options_.handOverLead >= stop_->end;
    for (const auto &[id, exchanges] : *streams_) {
        const auto upstream = view_->upstreams.find(id);
        if (upstream == view_->upstreams.end()) {
            continue;
        }
        for (Exchange *exchange : exchanges) {
            if (stops && exchange->canHandOver()) {
                exchange->moveAway(upstream->second, MoveWay::StopAtOnce, now + maxHandOverTime);
            }
        }
        moveRunsOf(upstream->second, exchanges, now);
    }
}

void Gateway::moveRunsOf(const UpstreamRecord &upstream, const std::set<Exchange *> &exchanges, SteadyTime now)
{
    if (!isEnding(upstream, exchanges.size(), now)) {
        return;
    }
    std::size_t &underWay = copiesUnderWay_[upstream.id];
    for (Exchange *exchange : exchanges) {
        if (underWay >= maxCopiesFromUpstream) {
            break;
        }
        const bool begun = exchange->moveAway(upstream, MoveWay::CopyFirst, endOf(upstream) + options_.moveLead);
        underWay += begun ? 1 : 0;
    }
    if (underWay == 0) {
        copiesUnderWay_.erase(upstream.id);
    }
}

void Gateway::copyEnded(const std::string &source, std::optional<SteadyTime::duration> took)
{
    const auto count = copiesUnderWay_.find(source);
    if (count != copiesUnderWay_.end() && --count->second == 0) {
        copiesUnderWay_.erase(count);
    }
    if (!took) {
        return;
    }
    const std::chrono::duration<double> before = moveTime_;
    const std::chrono::duration<double> newest = *took;
    moveTime_ = std::chrono::duration_cast<SteadyTime::duration>((1 - newestMoveShare) * before + newestMoveShare * newest);
    const auto upstream = view_->upstreams.find(source);
    const auto streams = streams_->find(source);
    if (upstream != view_->upstreams.end() && streams != streams_->end()) {
        moveRunsOf(upstream->second, streams->second, BootClock::now());
    }
}

SteadyTime Gateway::endOf(const UpstreamRecord &upstream) const
{
    return upstream.goneAt.value_or(*upstream.leavingSince + options_.drainBound);
}

bool Gateway::isEnding(const UpstreamRecord &upstream, std::size_t runs, SteadyTime now) const
{
    if (!upstream.leavingSince) {
        return false;
    }
    const SteadyTime end = endOf(upstream);
    const auto lead = options_.moveLead + std::min<SteadyTime::duration>(static_cast<int>(runs) * moveTime_, options_.drainBound);
    return now + lead >= end && now <= end + options_.moveLead;
}

// From then on the upstream takes no request, also none that goes on with a run.
bool Gateway::mayReturnTo(const UpstreamRecord &upstream, SteadyTime now) const
{
    return !upstream.leavingSince || now < std::min(endOf(upstream), *upstream.leavingSince + options_.drainBound);
}

} // namespace Portpaddle
