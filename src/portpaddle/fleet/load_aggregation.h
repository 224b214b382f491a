// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What daemons of a large fleet tell each other: reports to gatherers, sums for all daemons of a region, news between regions.
#pragma once

#include "portpaddle/fleet/aggregators.h"
#include "portpaddle/gateway/region_table.h"
#include "portpaddle/gateway/upstream_loads.h"
#include "portpaddle/limits/organisation_limits.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace Portpaddle {

/// One digest and the link addresses of the daemons that it goes to.
struct OutgoingDigest
{
    std::vector<std::string> to;
    Wire::LoadDigestT digest;
};

/// How often a daemon reports and a gatherer tells sums.
inline constexpr std::chrono::milliseconds digestInterval{ 100 };
/// Daemons of which one digest tells; the window moves on from digest to digest.
inline constexpr std::size_t maxDigestMembers = 48;
/// Parts that one digest passes on from another region.
inline constexpr std::size_t maxPassedOnParts = 8;

/// Belongs to one event loop. What is told is a function of the picture of the fleet, the loads and the number of the turn.
class LoadAggregation
{
public:
    LoadAggregation(std::string ownId, std::string ownRegion, UpstreamLoads &loads, RegionTable &regions,
                    OrganisationLimits &limits);

    void setView(std::shared_ptr<const FleetView> view);
    /// What to send at this turn, of which there is one in each interval. @p header has the sender and
    /// its phase; @p addWaits adds how its region does, where that is told.
    std::vector<OutgoingDigest> due(std::size_t turn, const Wire::LoadDigestT &header,
                                    const std::function<void(Wire::LoadDigestT &)> &addWaits, SteadyTime now);
    /// Takes a Report, Sum or Region digest whose sender is noted already.
    void take(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Whether this daemon gathers the news of @p shard for its region.
    bool isAggregator(unsigned shard, SteadyTime now) const;

private:
    /// What another region's gatherers told since it was passed on.
    struct OtherRegion
    {
        std::vector<Wire::ServiceWait> services;
        std::vector<Wire::PlacedPart> placed;
        std::vector<Wire::MemberNews> members;
        SteadyTime at{};
        bool fresh = false;
    };

    void collectParts();
    /// @p shares are this daemon's at the upstreams of @p shard.
    void report(const DaemonRecord &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares,
                const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    void tellSums(unsigned shard, const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    void passOn(const Wire::LoadDigestT &header, std::vector<std::string> to, SteadyTime now, std::vector<OutgoingDigest> &out);
    void tellRegions(unsigned shard, Wire::LoadDigestT digest, const std::function<void(Wire::LoadDigestT &)> &addWaits,
                     SteadyTime now, std::vector<OutgoingDigest> &out);
    /// The next daemons of the own region to tell of that this one heard itself.
    std::vector<Wire::MemberNews> nextMembers(std::size_t &window, Wire::DaemonPhase ownPhase, SteadyTime now) const;

    std::string ownId_;
    std::string ownRegion_;
    UpstreamLoads &loads_;
    RegionTable &regions_;
    OrganisationLimits &limits_;
    Aggregators aggregators_;
    std::shared_ptr<const FleetView> view_;
    /// Daemons of the own region, this one included; points into the view.
    std::vector<const DaemonRecord *> members_;
    /// Where the others of them are reached.
    std::vector<std::string> memberLinks_;
    /// Parts to report or to tell, by shard.
    std::array<std::vector<Wire::PlacedPart>, aggregationShards> parts_;
    /// The same for other regions.
    std::array<std::vector<Wire::PlacedPart>, aggregationShards> partsForRegions_;
    std::unordered_map<std::string, OtherRegion> otherRegions_;
    std::size_t localWindow_ = 0;
    std::size_t regionsWindow_ = 0;
};

} // namespace Portpaddle
