// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides the steps of rollouts and has them written to the store.
#pragma once

#include "portpaddle/rollouts/rollout_plan.h"
#include "portpaddle/rollouts/rollout_relay.h"

#include <deque>
#include <functional>

namespace Portpaddle {

/// Runs on the few daemons that are controllers. Writes are conditional on the record that the decision was based on, so that two
/// controllers cannot contradict each other. Belongs to one event loop.
class RolloutController
{
public:
    /// Writes a record unless the record in the store has another revision than the one given; does not block.
    using WriteRecord = std::function<void(const RolloutRecord &record, std::uint64_t expectedRevision)>;

    void setTerms(const RolloutTerms &terms);
    void setWriter(WriteRecord write);
    /// Decides about all open rollouts; call once in each interval. @p rank is this daemon's among the controllers.
    void evaluate(const FleetView &view, const RolloutRelay &relay, std::optional<unsigned> rank, SteadyTime now);

private:
    struct Snapshot
    {
        SteadyTime at{};
        RolloutCounts counts;
    };

    struct State
    {
        std::uint64_t order = 0;
        std::uint64_t recordRevision = 0;
        /// When this daemon learned of the order, or of the record in force.
        SteadyTime seenAt{};
        /// Since when another record is due.
        std::optional<SteadyTime> dueSince;
        SteadyTime writtenAt{};
        /// Total counts at earlier times.
        std::deque<Snapshot> history;
    };

    State &stateOf(const std::string &service, const Rollout &rollout, SteadyTime now);
    static RolloutVerdict judgeTotals(State &state, const RolloutCounts &counts, SteadyTime now);

    RolloutTerms terms_;
    WriteRecord write_ = [](const RolloutRecord &, std::uint64_t) {};
    /// By service.
    std::map<std::string, State> states_;
};

} // namespace Portpaddle
