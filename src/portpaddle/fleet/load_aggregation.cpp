// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/load_aggregation.h"

#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Portpaddle {

namespace {

// Each shard sends digests to other regions only once in this many turns: the digests cost bandwidth between regions, and only
// decisions to forward requests depend on them.
constexpr std::size_t regionDigestTurns = aggregationShards;
// A region of this many daemons sends at every turn; a larger one at as many fewer turns, so that what an aggregator sends and
// receives in a second does not grow with the region.
constexpr std::size_t daemonsPerTurn = 128;
// Every member of a region is named by one aggregator or another within this many sends.
constexpr std::size_t sendsPerMemberCycle = 8;

std::vector<Wire::PlacedPart> drainParts(std::vector<Wire::PlacedPart> &parts)
{
    return std::exchange(parts, {});
}

/// Returns a predicate for the keys that belong to @p shard.
auto inShard(unsigned shard)
{
    return [shard](std::uint32_t key) { return shardOf(key) == shard; };
}

std::uint16_t ageOf(SteadyTime heard, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - heard).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint16_t>::max()));
}

/// Returns @p members with their ages increased by @p time.
std::vector<Wire::MemberNews> withIncreasedAge(const std::vector<Wire::MemberNews> &members, SteadyTime::duration time)
{
    const auto additional = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    std::vector<Wire::MemberNews> result;
    result.reserve(members.size());
    for (const Wire::MemberNews &member : members) {
        const auto age = std::min<std::int64_t>(member.age_ms() + additional, std::numeric_limits<std::uint16_t>::max());
        result.emplace_back(member.daemon(), static_cast<std::uint16_t>(age), member.phase(), member.unreachable());
    }
    return result;
}

} // namespace

LoadAggregation::LoadAggregation(std::string ownId, std::string ownRegion, UpstreamLoads &loads, RegionTable &regions,
                                 OrganisationLimits &limits)
    : ownId_(std::move(ownId))
    , ownRegion_(std::move(ownRegion))
    , loads_(loads)
    , regions_(regions)
    , limits_(limits)
    , aggregators_(ownId_, [this](const std::string &daemon, SteadyTime now) { return regions_.fellSilent(daemon, now); })
    , localMemberCursor_(stableHash(ownId_))
    , regionMemberCursor_(stableHash(ownId_))
{
}

void LoadAggregation::setView(std::shared_ptr<const FleetView> view)
{
    const bool sameDaemons = view_ && view_->daemons.sharesWith(view->daemons);
    view_ = std::move(view);
    if (usesAggregators(*view_)) {
        aggregators_.setView(view_);
    }
    if (sameDaemons) {
        return;
    }
    members_.clear();
    memberLinkAddresses_.clear();
    for (const DaemonRecord &daemon : view_->daemons) {
        if (daemon.region != ownRegion_) {
            continue;
        }
        members_.push_back(&daemon);
        if (daemon.id != ownId_) {
            memberLinkAddresses_.push_back(daemon.linkAddress);
        }
    }
    turnsBetweenSends_ = turnsBetweenSends(members_.size());
    aggregators_.setSendInterval(sendInterval());
}

std::size_t turnsBetweenSends(std::size_t daemons)
{
    return std::max<std::size_t>(1, (daemons + daemonsPerTurn - 1) / daemonsPerTurn);
}

std::chrono::milliseconds LoadAggregation::sendInterval() const
{
    return digestInterval * static_cast<int>(turnsBetweenSends_);
}

std::vector<OutgoingDigest> LoadAggregation::due(std::size_t turn, const Wire::LoadDigestT &header,
                                                 const std::function<void(Wire::LoadDigestT &)> &addWaits, SteadyTime now)
{
    std::vector<OutgoingDigest> out;
    collectParts();
    std::array<std::vector<Wire::UpstreamShare>, aggregationShards> shares;
    for (const Wire::UpstreamShare &share : loads_.shares(now)) {
        shares.at(shardOf(share.key())).push_back(share);
    }
    // Daemons take different turns, so that their reports do not arrive together.
    const bool sends = (turn + stableHash(ownId_)) % turnsBetweenSends_ == 0;
    if (!isAnyAggregator(now)) {
        addForwardedRegions(header, now, out);
    }
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        const DaemonRecord *aggregator = aggregators_.of(ownRegion_, shard, now);
        if (aggregator == nullptr) {
            continue;
        }
        if (!aggregators_.isSelf(*aggregator)) {
            if (sends) {
                addReport(*aggregator, shard, shares.at(shard), header, now, out);
            }
            continue;
        }
        if (sends) {
            addSums(shard, header, now, out);
        }
        if ((turn + shard) % regionDigestTurns == 0) {
            addRegionDigests(shard, header, addWaits, now, out);
        }
    }
    return out;
}

bool LoadAggregation::isAggregator(unsigned shard, SteadyTime now) const
{
    const DaemonRecord *aggregator = aggregators_.of(ownRegion_, shard, now);
    return aggregator != nullptr && aggregators_.isSelf(*aggregator);
}

bool LoadAggregation::isAnyAggregator(SteadyTime now) const
{
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        if (isAggregator(shard, now)) {
            return true;
        }
    }
    return false;
}

void LoadAggregation::collectParts()
{
    for (const Wire::PlacedPart &part : loads_.takePlaced(DigestReach::OwnRegion)) {
        addPart(parts_.at(shardOf(part.upstream())), part);
    }
    // The parts for other regions are discarded: aggregators send those that were reported to them.
    (void)loads_.takePlaced(DigestReach::OtherRegions);
}

void LoadAggregation::addReport(const DaemonRecord &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares,
                                const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out)
{
    loads_.noteReported(aggregator.id, shard, shares);
    aggregators_.noteReportSent(aggregator.id, now);
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::Report;
    digest.shard = static_cast<std::uint8_t>(shard);
    std::vector<Wire::LoadDigestT> parts = splitIntoDigests(digest, shares, drainParts(parts_.at(shard)));
    LimitDigest limits;
    limits.counts = limits_.counts(inShard(shard), now);
    limits.urgencyCounts = limits_.urgencyCounts(inShard(shard), now);
    attachLimits(parts, digest, std::move(limits));
    for (Wire::LoadDigestT &part : parts) {
        out.push_back({ { aggregator.linkAddress }, std::move(part) });
    }
}

std::vector<Wire::MemberNews> LoadAggregation::nextMembers(std::size_t &cursor, std::size_t count,
                                                           const Wire::LoadDigestT &header, SteadyTime now) const
{
    std::vector<Wire::MemberNews> result;
    for (count = std::min(count, members_.size()); count > 0; --count) {
        const DaemonRecord &member = *members_[cursor++ % members_.size()];
        if (member.id == ownId_) {
            result.emplace_back(memberKey(member.id), 0, header.phase, header.unreachable);
        } else if (const auto heard = regions_.heardDirectly(member.id, now)) {
            result.emplace_back(memberKey(member.id), ageOf(*heard, now), regions_.phaseOf(member.id),
                                regions_.unreachableFrom(member.id));
        }
    }
    return result;
}

void LoadAggregation::addSums(unsigned shard, const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out)
{
    const std::vector<Wire::UpstreamShare> sums = loads_.sums(shard, now);
    std::vector<Wire::PlacedPart> &forRegions = partsForRegions_.at(shard);
    for (const Wire::PlacedPart &part : parts_.at(shard)) {
        addPart(forRegions, part);
    }
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::Sum;
    digest.shard = static_cast<std::uint8_t>(shard);
    std::vector<Wire::LoadDigestT> parts = splitIntoDigests(digest, sums, drainParts(parts_.at(shard)));
    LimitDigest limits;
    limits.grants = limits_.grants(inShard(shard), now);
    limits.urgencyGrants = limits_.urgencyGrants(inShard(shard), now);
    attachLimits(parts, digest, std::move(limits));
    for (Wire::LoadDigestT &part : parts) {
        out.push_back({ memberLinkAddresses_, std::move(part) });
    }
    addMembers(digest, now, out);
    addRelayedRegions(digest, memberLinkAddresses_, now, out);
}

void LoadAggregation::addMembers(const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out)
{
    Wire::LoadDigestT digest = header;
    std::size_t left = std::max(maxDigestMembers, (members_.size() + sendsPerMemberCycle - 1) / sendsPerMemberCycle);
    while (left > 0) {
        const std::size_t count = std::min(left, maxDigestMembers);
        left -= count;
        digest.members = nextMembers(localMemberCursor_, count, header, now);
        out.push_back({ memberLinkAddresses_, digest });
    }
}

/// Adds one digest for each other region with new data.
void LoadAggregation::addRelayedRegions(const Wire::LoadDigestT &header, const std::vector<std::string> &to, SteadyTime now,
                                        std::vector<OutgoingDigest> &out)
{
    Wire::LoadDigestT digest = header;
    for (auto &[name, region] : otherRegions_) {
        if (!region.isUnsent) {
            continue;
        }
        digest.regions.push_back(takeUnsent(name, region, now));
        out.push_back({ to, digest });
        digest.regions.clear();
    }
}

// The aggregator learns from a Report with the data of another region that the region can be reached. It is sent at once, not at
// the next turn for reports, since all daemons of the region wait for it.
void LoadAggregation::addForwardedRegions(const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out)
{
    for (auto &[name, region] : otherRegions_) {
        const DaemonRecord *aggregator = region.isUnsent ? aggregators_.of(ownRegion_, region.shard, now) : nullptr;
        if (aggregator == nullptr) {
            continue;
        }
        Wire::LoadDigestT digest = header;
        digest.kind = Wire::DigestKind::Report;
        digest.shard = static_cast<std::uint8_t>(region.shard);
        digest.regions.push_back(takeUnsent(name, region, now));
        out.push_back({ { aggregator->linkAddress }, std::move(digest) });
    }
}

std::unique_ptr<Wire::RegionNewsT> LoadAggregation::takeUnsent(const std::string &name, OtherRegion &region, SteadyTime now)
{
    region.isUnsent = false;
    auto regionNews = std::make_unique<Wire::RegionNewsT>();
    regionNews->region = name;
    regionNews->services = region.services;
    regionNews->placed = drainParts(region.placed);
    regionNews->placed.resize(std::min(regionNews->placed.size(), maxRelayedParts));
    regionNews->members = withIncreasedAge(region.members, now - region.at);
    return regionNews;
}

// A silent region may have silenced this one in the same way, and its first-ranked daemons may be dead: its daemons are sent
// digests in turn, as many as its aggregator would get.
LoadAggregation::RegionRecipients LoadAggregation::regionRecipients(unsigned shard, SteadyTime now)
{
    RegionRecipients to;
    for (const std::string &region : aggregators_.regions()) {
        if (region == ownRegion_) {
            continue;
        }
        const DaemonRecord *aggregator = regions_.isSilentRegion(region, now) ? nullptr : aggregators_.of(region, shard, now);
        if (aggregator != nullptr) {
            to.reachable.push_back(aggregator->linkAddress);
        } else if (const DaemonRecord *daemon = aggregators_.next(region, shard)) {
            to.silent.push_back(daemon->linkAddress);
        }
    }
    return to;
}

void LoadAggregation::addRegionDigests(unsigned shard, Wire::LoadDigestT digest,
                                       const std::function<void(Wire::LoadDigestT &)> &addWaits, SteadyTime now,
                                       std::vector<OutgoingDigest> &out)
{
    const RegionRecipients to = regionRecipients(shard, now);
    if (to.reachable.empty() && to.silent.empty()) {
        return;
    }
    digest.kind = Wire::DigestKind::Region;
    digest.shard = static_cast<std::uint8_t>(shard);
    addWaits(digest);
    digest.placed = drainParts(partsForRegions_.at(shard));
    digest.placed.resize(std::min(digest.placed.size(), maxDigestParts));
    digest.members = nextMembers(regionMemberCursor_, maxDigestMembers, digest, now);
    // A silent region is not told the demand for limits: it would adapt its share to it, while this region, which cannot know
    // that share, keeps its own, and both together would exceed the limit.
    if (!to.silent.empty()) {
        out.push_back({ to.silent, digest });
    }
    Wire::LoadDigestT header = digest;
    header.placed.clear();
    header.members.clear();
    std::vector<Wire::LoadDigestT> parts{ std::move(digest) };
    LimitDigest limits;
    limits.demands = limits_.demands(inShard(shard), now);
    limits.urgencyDemands = limits_.urgencyDemands(inShard(shard));
    attachLimits(parts, header, std::move(limits));
    for (Wire::LoadDigestT &part : parts) {
        if (!to.reachable.empty()) {
            out.push_back({ to.reachable, std::move(part) });
        }
    }
}

} // namespace Portpaddle
