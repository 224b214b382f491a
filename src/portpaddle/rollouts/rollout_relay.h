// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Brings the rollout reports of all daemons to the few daemons that decide about rollouts.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/rollouts/rollout_evidence.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Daemons report to a collector of their group, and collectors send the sums of their groups to the controllers. So what one
/// daemon receives grows with the size of a group and the number of groups, not with the number of daemons. Belongs to one event
/// loop.
class RolloutRelay
{
public:
    using IsSilent = std::function<bool(const std::string &daemon, SteadyTime now)>;

    /// @p life differs for each process.
    RolloutRelay(std::string ownId, std::string ownRegion, std::uint64_t life, IsSilent isSilent);

    void setView(std::shared_ptr<const FleetView> view);
    /// Returns the digests to send now; call once in each interval while any rollout is open.
    std::vector<OutgoingDigest> due(const Wire::LoadDigestT &header, const std::vector<RolloutReport> &own, SteadyTime now);
    void take(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the rank of this daemon among the controllers; no value if it is none.
    std::optional<unsigned> controllerRank(SteadyTime now) const;
    /// Returns what was reported to this daemon as a controller.
    RolloutReport total(std::uint64_t order, SteadyTime now) const;

private:
    /// What one process reported about one order.
    struct Source
    {
        RolloutReport report;
        SteadyTime heardAt{};
    };
    /// By order, and by the process that reported.
    using Sources = std::map<std::uint64_t, std::unordered_map<std::uint64_t, Source>>;

    std::vector<const DaemonRecord *> controllers(SteadyTime now) const;
    const DaemonRecord *collector(SteadyTime now) const;
    /// Returns up to @p count daemons that rank first for @p role among those that are not silent.
    std::vector<const DaemonRecord *> firstInRank(const std::string &role, const std::string *region, std::size_t count,
                                                  SteadyTime now) const;
    static void update(Sources &sources, std::uint64_t life, const RolloutReport &report, SteadyTime now);
    static RolloutReport sum(const Sources &sources, std::uint64_t order, SteadyTime now);
    bool isListed(const std::string &daemon) const;

    std::string ownId_;
    std::string ownRegion_;
    std::uint64_t life_;
    IsSilent isSilent_;
    std::shared_ptr<const FleetView> view_;
    /// Reports of the own group.
    Sources members_;
    /// Sums of the collectors.
    Sources collectors_;
};

} // namespace Portpaddle
