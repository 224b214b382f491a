// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Load digests of a large fleet: reports to aggregators, sums for all daemons of a region, and digests between regions.
#pragma once

#include "portpaddle/fleet/aggregators.h"
#include "portpaddle/limits/organisation_limits.h"
#include "portpaddle/placement/region_table.h"
#include "portpaddle/placement/upstream_loads.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace Portpaddle {

/// A digest and the link addresses of its recipients.
struct OutgoingDigest
{
    std::vector<std::string> to;
    Wire::LoadDigestT digest;
};

/// Interval of turns. In a region of some hundred daemons each daemon sends at only some of the turns; see turnsBetweenSends().
inline constexpr std::chrono::milliseconds digestInterval{ 100 };
/// Returns the number of turns from one report or sum to the next in a region of @p daemons daemons.
std::size_t turnsBetweenSends(std::size_t daemons);
/// Maximum number of members whose state one digest contains; successive digests cycle through all members.
inline constexpr std::size_t maxDigestMembers = 48;
/// Maximum number of parts from another region that one digest relays.
inline constexpr std::size_t maxRelayedParts = 8;

/// Exchanges load digests. What is sent depends only on fleet view, loads and turn number. Belongs to one event loop.
class LoadAggregation
{
public:
    LoadAggregation(std::string ownId, std::string ownRegion, UpstreamLoads &loads, RegionTable &regions,
                    OrganisationLimits &limits);

    void setView(std::shared_ptr<const FleetView> view);
    /// Returns the time from one report or sum to the next.
    std::chrono::milliseconds sendInterval() const;
    /// Returns the digests to send at @p turn; there is one turn per interval. @p header holds the sender and its phase;
    /// @p addWaits adds the waiting times of the own region to digests for other regions.
    std::vector<OutgoingDigest> due(std::size_t turn, const Wire::LoadDigestT &header,
                                    const std::function<void(Wire::LoadDigestT &)> &addWaits, SteadyTime now);
    /// Applies a Report, Sum or Region digest whose sender was already recorded.
    void take(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Whether this daemon is the aggregator of @p shard in its region.
    bool isAggregator(unsigned shard, SteadyTime now) const;

private:
    /// Data that arrived from another region's aggregators since it was last relayed to the daemons of the own region.
    struct OtherRegion
    {
        std::vector<Wire::ServiceWait> services;
        std::vector<Wire::PlacedPart> placed;
        std::vector<Wire::MemberNews> members;
        SteadyTime at{};
        /// The shard of the aggregator that sent the newest data.
        unsigned shard = 0;
        bool isUnsent = false;
    };

    /// The addresses to which the next region digests of a shard go.
    struct RegionRecipients
    {
        /// Aggregators of regions that send summaries.
        std::vector<std::string> reachable;
        /// Of each silent region, the daemon whose turn it is.
        std::vector<std::string> silent;
    };

    /// Adds @p part to @p parts unless it is known or there are too many.
    static void addPart(std::vector<Wire::PlacedPart> &parts, const Wire::PlacedPart &part);
    void collectParts();
    /// Adds this daemon's report to @p aggregator. @p shares are this daemon's at the upstreams of @p shard.
    void addReport(const DaemonRecord &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares,
                   const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    void addSums(unsigned shard, const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    void addRelayedRegions(const Wire::LoadDigestT &header, const std::vector<std::string> &to, SteadyTime now,
                           std::vector<OutgoingDigest> &out);
    /// Adds the data of other regions that came to this daemon although it aggregates nothing, for aggregators of the own region.
    void addForwardedRegions(const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    RegionRecipients regionRecipients(unsigned shard, SteadyTime now);
    /// Takes the data of @p region that was not sent yet, in the form in which digests carry it.
    static std::unique_ptr<Wire::RegionNewsT> takeUnsent(const std::string &name, OtherRegion &region, SteadyTime now);
    /// Whether this daemon is the aggregator of any shard in its region.
    bool isAnyAggregator(SteadyTime now) const;
    void takeReport(const Wire::LoadDigestT &digest, SteadyTime now);
    void takeSum(const Wire::LoadDigestT &digest, SteadyTime now);
    void takeRegionDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Applies data of other regions that a daemon of the own region passed on.
    void takeRelayed(const Wire::RegionNewsT &regionNews, SteadyTime now);
    /// Keeps data of another region, which an aggregator of @p shard there sent, until it is relayed in the own region.
    void keepForRelay(const Wire::RegionNewsT &regionNews, unsigned shard, SteadyTime now);
    void addRegionDigests(unsigned shard, Wire::LoadDigestT digest, const std::function<void(Wire::LoadDigestT &)> &addWaits,
                          SteadyTime now, std::vector<OutgoingDigest> &out);
    /// Returns the next @p count members of the own region, this daemon, which @p header describes, and those that it
    /// heard directly; advances @p cursor.
    std::vector<Wire::MemberNews> nextMembers(std::size_t &cursor, std::size_t count, const Wire::LoadDigestT &header,
                                              SteadyTime now) const;
    /// Adds digests with the next members of the own region.
    void addMembers(const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);

    std::string ownId_;
    std::string ownRegion_;
    UpstreamLoads &loads_;
    RegionTable &regions_;
    OrganisationLimits &limits_;
    Aggregators aggregators_;
    std::shared_ptr<const FleetView> view_;
    /// Daemons of the own region, this one included; points into the view.
    std::vector<const DaemonRecord *> members_;
    /// Link addresses of the other daemons of the own region.
    std::vector<std::string> memberLinkAddresses_;
    std::size_t turnsBetweenSends_ = 1;
    /// Parts to send within the own region, by shard.
    std::array<std::vector<Wire::PlacedPart>, aggregationShards> parts_;
    /// Parts to send to other regions, by shard.
    std::array<std::vector<Wire::PlacedPart>, aggregationShards> partsForRegions_;
    std::unordered_map<std::string, OtherRegion> otherRegions_;
    std::size_t localMemberCursor_ = 0;
    std::size_t regionMemberCursor_ = 0;
};

} // namespace Portpaddle
