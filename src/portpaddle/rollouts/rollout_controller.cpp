// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_controller.h"

#include "portpaddle/store_following/fleet_view.h"

namespace Portpaddle {

namespace {

// A controller acts this much later than the one that ranks before it, which may be cut off from the store.
constexpr std::chrono::milliseconds staggerTime{ 1'000 };
// A record that was written is known from the store within about a second.
constexpr std::chrono::milliseconds rewriteInterval{ 1'500 };
// A fault that begins late would disappear among the good answers before it, so the latest answers are judged by themselves too.
constexpr std::chrono::milliseconds recentTime{ 5'000 };
constexpr std::chrono::milliseconds snapshotInterval{ 1'000 };

} // namespace

void RolloutController::setTerms(const RolloutTerms &terms)
{
    terms_ = terms;
}

void RolloutController::setWriter(WriteRecord write)
{
    write_ = std::move(write);
}

RolloutController::State &RolloutController::stateOf(const std::string &service, const Rollout &rollout, SteadyTime now)
{
    State &state = states_[service];
    if (state.order != rollout.order->id) {
        state = {};
        state.order = rollout.order->id;
        state.seenAt = now;
    }
    const std::uint64_t revision = rollout.isRecorded() ? rollout.record->revision : 0;
    if (revision != state.recordRevision) {
        state.recordRevision = revision;
        state.seenAt = now;
        state.dueSince.reset();
        state.writtenAt = {};
    }
    return state;
}

RolloutVerdict RolloutController::judgeTotals(State &state, const RolloutCounts &counts, SteadyTime now)
{
    if (state.history.empty() || now - state.history.back().at >= snapshotInterval) {
        state.history.push_back({ now, counts });
    }
    while (state.history.size() > 1 && now - state.history[1].at >= recentTime) {
        state.history.pop_front();
    }
    const RolloutVerdict whole = judge(counts);
    return whole.isBad() ? whole : judge(countedSince(counts, state.history.front().counts));
}

void RolloutController::evaluate(const FleetView &view, const RolloutRelay &relay, std::optional<unsigned> rank, SteadyTime now)
{
    std::erase_if(states_, [&view](const auto &entry) {
        const auto rollout = view.rollouts.find(entry.first);
        return rollout == view.rollouts.end() || !rollout->second.isOpen();
    });
    for (const auto &[service, rollout] : view.rollouts) {
        if (!rollout.isOpen()) {
            continue;
        }
        State &state = stateOf(service, rollout, now);
        const RolloutReport total = relay.total(rollout.order->id, now);
        RolloutFacts facts;
        facts.order = *rollout.order;
        facts.record = rollout.isRecorded() ? rollout.record : std::nullopt;
        facts.elapsed
            = (facts.record ? facts.record->elapsed : Millis(0)) + std::chrono::duration_cast<Millis>(now - state.seenAt);
        facts.verdict = judgeTotals(state, total.counts, now);
        facts.runningOlder = total.runningOlder;
        const std::optional<RolloutRecord> next = nextRecord(facts, terms_);
        if (!next) {
            state.dueSince.reset();
            continue;
        }
        state.dueSince = state.dueSince.value_or(now);
        const bool ownTurn = rank && now - *state.dueSince >= staggerTime * static_cast<int>(*rank);
        if (ownTurn && view.storeReachable && now - state.writtenAt >= rewriteInterval) {
            state.writtenAt = now;
            write_(*next, rollout.record ? rollout.record->revision : 0);
        }
    }
}

} // namespace Portpaddle
