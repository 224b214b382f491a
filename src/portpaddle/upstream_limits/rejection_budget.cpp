// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/rejection_budget.h"

#include "portpaddle/gateway/fleet_view.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// The rest is left for rejections of requests that were under way when the upstream lost room.
constexpr double usedShare = 0.5;
// Rejections per second; with fewer, an upstream that has room again would be found out too late.
constexpr double minShare = 0.05;

} // namespace

void RejectionBudget::setDaemons(unsigned daemons)
{
    daemons_ = std::max(1U, daemons);
}

void RejectionBudget::keepOnly(const FleetView &view)
{
    std::erase_if(states_, [&view](const auto &item) { return !view.upstreams.contains(item.first); });
}

void RejectionBudget::refill(State &state, SteadyTime now) const
{
    const double seconds = std::chrono::duration<double>(now - state.creditAt).count();
    state.credit = std::min(std::max(1.0, state.share), state.credit + seconds * state.share);
    state.creditAt = now;
}

bool RejectionBudget::allows(const std::string &upstream, unsigned running, SteadyTime now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return true;
    }
    State &state = found->second;
    refill(state, now);
    return state.credit >= 1 || (state.credit >= 0 && running < state.room);
}

// A request beyond the known room may be rejected: it takes credit at once, so that several under way do not exceed the share.
void RejectionBudget::sent(const std::string &upstream, unsigned running, SteadyTime now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || running < found->second.room) {
        return;
    }
    refill(found->second, now);
    found->second.credit -= 1;
}

void RejectionBudget::answered(const std::string &upstream, const LimitReading &brittle, bool rejected, unsigned running,
                               SteadyTime now)
{
    if (brittle.kind == LimitKind::Absent) {
        states_.erase(upstream);
        return;
    }
    if (brittle.kind == LimitKind::Unreadable) {
        return;
    }
    const auto [entry, isNew] = states_.try_emplace(upstream);
    State &state = entry->second;
    state.share = std::max(minShare, usedShare * brittle.perSecond / daemons_);
    if (isNew) {
        state.credit = std::max(1.0, state.share);
        state.creditAt = now;
        state.room = running;
    }
    refill(state, now);
    if (!rejected) {
        // A request beyond the known room had taken credit for a rejection.
        state.credit += running > state.room ? 1 : 0;
        state.room = std::max(state.room, running);
        return;
    }
    // What was within the known room has taken no credit yet.
    state.credit -= running <= state.room ? 1 : 0;
    state.room = std::min(state.room, running > 0 ? running - 1 : 0);
}

std::size_t RejectionBudget::size() const
{
    return states_.size();
}

} // namespace Portpaddle
