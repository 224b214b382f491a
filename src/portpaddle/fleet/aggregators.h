// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemons gather news for their region.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_loads.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Names a gatherer for each shard of each region, the best ranked one that is not known to be silent. Belongs to one event loop.
class Aggregators
{
public:
    /// Whether a daemon was heard before and is not any more.
    using IsSilent = std::function<bool(const std::string &daemon, SteadyTime now)>;

    Aggregators(std::string ownId, IsSilent isSilent);

    void setView(std::shared_ptr<const FleetView> view);
    /// Null where the region has no daemon that could.
    const DaemonRecord *of(const std::string &region, unsigned shard, SteadyTime now) const;
    bool isSelf(const DaemonRecord &daemon) const;
    /// This daemon reported to @p aggregator, whose sums are awaited from now on.
    void reported(const std::string &aggregator, SteadyTime now);
    /// Sums came from @p aggregator.
    void heardSums(const std::string &aggregator, SteadyTime now);
    /// All regions of the fleet.
    std::vector<std::string> regions() const;

private:
    using Ranks = std::array<std::vector<const DaemonRecord *>, aggregationShards>;

    /// How a gatherer that was reported to answers.
    struct Response
    {
        SteadyTime lastReport{};
        /// Since when its sums are awaited, or when they came last.
        SteadyTime awaitedSince{};
        /// It did not answer.
        SteadyTime avoidedUntil{};
    };

    bool isAvoided(const std::string &daemon, SteadyTime now) const;

    std::string ownId_;
    IsSilent isSilent_;
    std::shared_ptr<const FleetView> view_;
    std::unordered_map<std::string, Ranks> ranks_;
    std::unordered_map<std::string, Response> responses_;
};

} // namespace Portpaddle
