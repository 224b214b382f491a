// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts the answers that this daemon received from the versions of services that are rolled out.
#pragma once

#include "portpaddle/rollouts/rollout.h"
#include "portpaddle/rollouts/rollout_counts.h"

#include <string>
#include <vector>

namespace Portpaddle {

/// One request at an upstream of a service that is rolled out, from its sending to its end.
struct RolloutTicket
{
    /// RolloutOrder::id; zero if the request does not count.
    std::uint64_t order = 0;
    VersionArm arm = VersionArm::Any;
    std::uint32_t route = 0;
};

/// What an answer tells about the version that gave it.
struct AnswerSample
{
    bool failed = false;
    /// Time to the answer, or to the first event of a stream.
    std::chrono::duration<double, std::milli> time{ 0 };
};

/// The counts for one order.
struct RolloutReport
{
    std::uint64_t order = 0;
    /// Since the start of the daemon.
    RolloutCounts counts;
    /// Requests in progress at older versions.
    std::uint64_t runningOlder = 0;
};

/// Belongs to one event loop.
class RolloutEvidence
{
public:
    /// Removes the counts of orders that are not open in @p rollouts.
    void keepOnly(const Rollouts &rollouts);
    /// Records that a request of @p route was sent to an upstream of @p version.
    RolloutTicket sent(const Rollout &rollout, const std::string &route, const std::string &version);
    /// Records the end of a request; @p sample has no value if the end tells nothing about the version.
    void ended(const RolloutTicket &ticket, const std::optional<AnswerSample> &sample);
    /// Returns the counts of each open order.
    std::vector<RolloutReport> reports() const;

private:
    /// By order.
    std::map<std::uint64_t, RolloutReport> reports_;
};

} // namespace Portpaddle
