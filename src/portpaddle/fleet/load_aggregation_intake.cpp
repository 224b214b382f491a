// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Applies the digests that other daemons send.

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/placement/load_digest.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Limit per shard and interval. Further parts are still found at the upstreams that prefix affinity ranks first.
constexpr std::size_t maxPartsPerShard = 4 * maxDigestParts;

/// Adds the sender of @p digest to @p members: it is certainly alive, and may be the only daemon of its region known to be.
void addSender(const Wire::LoadDigestT &digest, std::vector<Wire::MemberNews> &members)
{
    const std::uint32_t key = memberKey(digest.daemon);
    const bool known
        = std::any_of(members.begin(), members.end(), [key](const Wire::MemberNews &member) { return member.daemon() == key; });
    if (known) {
        return;
    }
    if (members.size() >= maxDigestMembers) {
        members.pop_back();
    }
    members.emplace_back(key, 0, digest.phase, digest.unreachable);
}

} // namespace

void LoadAggregation::addPart(std::vector<Wire::PlacedPart> &parts, const Wire::PlacedPart &part)
{
    const bool known = std::any_of(parts.begin(), parts.end(), [&part](const Wire::PlacedPart &other) {
        return other.chain() == part.chain() && other.upstream() == part.upstream();
    });
    if (!known && parts.size() < maxPartsPerShard) {
        parts.push_back(part);
    }
}

void LoadAggregation::take(const Wire::LoadDigestT &digest, SteadyTime now)
{
    switch (digest.kind) {
    case Wire::DigestKind::Direct:
    case Wire::DigestKind::Crashes:
    case Wire::DigestKind::UpstreamLimits:
    case Wire::DigestKind::RolloutReport:
    case Wire::DigestKind::RolloutSum:
    case Wire::DigestKind::StreamVersions:
    case Wire::DigestKind::UpstreamPlaces:
        break;
    case Wire::DigestKind::Report:
        takeReport(digest, now);
        break;
    case Wire::DigestKind::Sum:
        takeSum(digest, now);
        break;
    case Wire::DigestKind::Region:
        takeRegionDigest(digest, now);
        break;
    }
}

void LoadAggregation::takeReport(const Wire::LoadDigestT &digest, SteadyTime now)
{
    loads_.applyDigest(digest, now);
    limits_.takeCounts(digest.daemon, digest.limit_counts, now, digest.limit_urgency_counts);
    for (const Wire::PlacedPart &part : digest.placed) {
        addPart(parts_.at(shardOf(part.upstream())), part);
    }
    for (const std::unique_ptr<Wire::RegionNewsT> &regionNews : digest.regions) {
        takeRelayed(*regionNews, now);
        // A daemon that aggregates nothing does not forward this once more: two that take each other for the aggregator would
        // send it back and forth.
        if (regions_.listedRegions().contains(regionNews->region) && regionNews->region != ownRegion_ && isAnyAggregator(now)) {
            keepForRelay(*regionNews, digest.shard, now);
        }
    }
}

void LoadAggregation::takeSum(const Wire::LoadDigestT &digest, SteadyTime now)
{
    aggregators_.noteSumsReceived(digest.daemon, now);
    regions_.takeMembers(digest.members, now);
    for (const std::unique_ptr<Wire::RegionNewsT> &regionNews : digest.regions) {
        takeRelayed(*regionNews, now);
    }
    // An aggregator ignores sums of its own shard: if two daemons aggregate one shard, each would include the other's counts.
    const DaemonRecord *aggregator = digest.shard < aggregationShards ? aggregators_.of(ownRegion_, digest.shard, now) : nullptr;
    if (aggregator != nullptr && !aggregators_.isSelf(*aggregator)) {
        loads_.applySums(digest, now);
        if (aggregator->id == digest.daemon) {
            limits_.takeGrants(digest.limit_grants, now, digest.limit_urgency_grants);
        }
    }
}

void LoadAggregation::takeRegionDigest(const Wire::LoadDigestT &digest, SteadyTime now)
{
    regions_.takeMembers(digest.members, now);
    if (!regions_.listedRegions().contains(digest.region)) {
        return;
    }
    limits_.takeDemands(digest.region, digest.limit_demands, now, digest.limit_urgency_demands);
    // The further parts of a digest hold only demands.
    if (digest.services.empty() && digest.members.empty()) {
        return;
    }
    Wire::RegionNewsT regionNews;
    regionNews.region = digest.region;
    regionNews.services = digest.services;
    regionNews.placed = digest.placed;
    regionNews.members = digest.members;
    addSender(digest, regionNews.members);
    keepForRelay(regionNews, digest.shard, now);
}

void LoadAggregation::takeRelayed(const Wire::RegionNewsT &regionNews, SteadyTime now)
{
    regions_.takeRegion(regionNews.region, regionNews.services, regionNews.placed, now);
    regions_.takeMembers(regionNews.members, now);
}

void LoadAggregation::keepForRelay(const Wire::RegionNewsT &regionNews, unsigned shard, SteadyTime now)
{
    OtherRegion &region = otherRegions_[regionNews.region];
    region.services = regionNews.services;
    for (const Wire::PlacedPart &part : regionNews.placed) {
        addPart(region.placed, part);
    }
    region.members = regionNews.members;
    region.at = now;
    region.shard = shard % aggregationShards;
    region.isUnsent = true;
}

} // namespace Portpaddle
