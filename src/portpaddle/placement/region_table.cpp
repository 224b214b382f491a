// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/region_table.h"

#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// Round-trip time between regions; links take some 55 ms one way.
constexpr double distanceMs = 115;
// Summaries of another region come a few times a second; an older one means that the link is cut.
constexpr std::chrono::milliseconds maxSummaryAge{ 1'500 };
constexpr std::chrono::milliseconds livenessTimeout{ 2'000 };
// The four aggregators of a region each send a summary every 400 ms; after this time about ten in a row are missing. It is
// shorter than the age at which a summary no longer counts, so that other daemons of the region are tried before.
constexpr std::chrono::milliseconds maxRegionSilence{ 1'000 };
constexpr std::chrono::milliseconds avoidanceTime{ 1'000 };
// A daemon that could not get a configuration from the one that named it is likely to get the next one late as well.
constexpr std::chrono::milliseconds olderTime{ 2'000 };
// Digests of a newly listed daemon reach all others within about two seconds, also in small fleets, where daemons take turns to
// send.
constexpr std::chrono::milliseconds firstDigestTimeout{ 3'000 };
// Each request asks for every region; iterating over a few hundred daemons each time took most of the time of a choice.
constexpr std::chrono::milliseconds usableCacheTime{ 50 };
// A daemon counts as silent after this many missing digests in a row; lost datagrams and pauses of small VMs rarely last that
// long.
constexpr int maxMissedDigests = 7;
constexpr std::chrono::milliseconds minSilenceBound{ 800 };
// Fraction of the engines' memory assumed for shared parts, the only ones in the table of a region's prompt parts. Parts of
// single requests, about half of all tokens, also take memory and evict shared ones.
constexpr double sharedPartShare = 0.3;
// A daemon that vanished is counted for this time, because it may return and spend its share of a bound at once.
constexpr std::chrono::milliseconds countedPeerAge{ 20'000 };
// A daemon that is no longer listed is forgotten after this time without digests; the counters of organisation limits remember it
// for 60 s.
constexpr std::chrono::milliseconds peerRetention{ 120'000 };
// More services than any configuration has; digests may name any.
constexpr std::size_t maxServicesOfRegion = 1'024;
// Ten times the daemons of the largest planned fleet; datagrams under further names are dropped.
constexpr std::size_t maxPeers = 4'096;

} // namespace

std::uint64_t serviceKey(const std::string &service)
{
    return stableHash(service);
}

void RegionTable::setOwnRegion(std::string region)
{
    ownRegion_ = std::move(region);
}

void RegionTable::applyDigest(const Wire::LoadDigestT &digest, SteadyTime now)
{
    if (peers_.size() >= maxPeers && !peers_.contains(digest.daemon)) {
        return;
    }
    Peer &peer = peers_[digest.daemon];
    if (digest.sequence <= peer.sequence && now - peer.sequenceAt < livenessTimeout) {
        return;
    }
    if (peer.phase != digest.phase || now - peer.heard > livenessTimeout) {
        usableDaemons_.clear();
    }
    peer.region = digest.region;
    peer.sequence = digest.sequence;
    peer.sequenceAt = now;
    peer.phase = digest.phase;
    peer.heard = now;
    peer.unreachable = digest.unreachable;
    peer.configVersion = digest.config_version;
    if (digest.region != ownRegion_) {
        takeRegion(digest.region, digest.services, digest.placed, now);
    }
}

void RegionTable::takeRegion(const std::string &name, const std::vector<Wire::ServiceWait> &services,
                             const std::vector<Wire::PlacedPart> &placed, SteadyTime now)
{
    // Any sender of a datagram could name any number of regions.
    if (!listedRegions_.contains(name)) {
        return;
    }
    Region &region = regions_[name];
    region.summaryAt = now;
    for (const Wire::ServiceWait &service : services) {
        if (region.services.size() >= maxServicesOfRegion && !region.services.contains(service.service())) {
            continue;
        }
        const double patientWaitMs = service.patient_wait_ms();
        ServiceState summary;
        summary.waitMs = { double(service.urgent_wait_ms()), double(service.usual_wait_ms()), patientWaitMs, patientWaitMs };
        summary.upstreams = service.upstreams();
        summary.tokensPerMs = service.tokens_per_ms();
        summary.running = service.running();
        summary.tokenMs = service.token_ms();
        summary.at = now;
        const ServiceState &before = region.services[service.service()];
        summary.forwardedRecently = before.forwardedRecently;
        summary.forwardedUsually = before.forwardedUsually;
        region.services[service.service()] = summary;
    }
    for (const Wire::PlacedPart &part : placed) {
        region.prefixes.advance(part.tokens());
        region.prefixes.note(part.chain());
    }
}

void RegionTable::setDaemons(const FleetView &view, SteadyTime now)
{
    std::unordered_map<std::uint32_t, ListedDaemon> listed;
    listedRegions_.clear();
    for (const DaemonRecord &daemon : view.daemons) {
        listedRegions_.insert(daemon.region);
        const std::uint32_t key = memberKey(daemon.id);
        const auto known = listedDaemons_.find(key);
        listed[key] = { daemon.id, daemon.region, known == listedDaemons_.end() ? now : known->second.since };
    }
    listedDaemons_ = std::move(listed);
    usableDaemons_.clear();
    // Otherwise daemons that ended long ago would use up the bound, and digests of new ones would be dropped.
    std::erase_if(peers_, [this, now](const auto &entry) {
        return now - entry.second.heard > peerRetention && !listedDaemons_.contains(memberKey(entry.first));
    });
}

const std::set<std::string> &RegionTable::listedRegions() const
{
    return listedRegions_;
}

void RegionTable::takeMembers(std::span<const Wire::MemberNews> members, SteadyTime now)
{
    for (const Wire::MemberNews &member : members) {
        const auto name = listedDaemons_.find(member.daemon());
        const SteadyTime heard = now - std::chrono::milliseconds(member.age_ms());
        if (name == listedDaemons_.end()) {
            continue;
        }
        Peer &peer = peers_[name->second.id];
        if (heard <= peer.heard) {
            continue;
        }
        if (peer.phase != member.phase() || heard - peer.heard > livenessTimeout) {
            usableDaemons_.clear();
        }
        peer.region = name->second.region;
        peer.phase = member.phase();
        peer.heard = heard;
        peer.unreachable = member.unreachable();
    }
}

std::optional<SteadyTime> RegionTable::heardDirectly(const std::string &daemon, SteadyTime now) const
{
    const auto found = peers_.find(daemon);
    const bool fresh = found != peers_.end() && now - found->second.sequenceAt < livenessTimeout;
    return fresh ? std::optional(found->second.sequenceAt) : std::nullopt;
}

void RegionTable::tick(SteadyTime now)
{
    unsigned count = 1;
    for (const auto &[id, peer] : peers_) {
        count += peer.region == ownRegion_ && now - peer.heard < countedPeerAge ? 1 : 0;
    }
    daemonsInOwnRegion_ = count;
}

unsigned RegionTable::daemonsInOwnRegion() const
{
    return daemonsInOwnRegion_;
}

void RegionTable::markUnreachable(const std::string &daemon, SteadyTime now)
{
    peers_[daemon].avoidedUntil = now + avoidanceTime;
    usableDaemons_.clear();
}

void RegionTable::setDigestInterval(std::chrono::milliseconds interval)
{
    digestInterval_ = interval;
}

std::chrono::milliseconds RegionTable::silenceBound() const
{
    return std::clamp<std::chrono::milliseconds>(digestInterval_ * maxMissedDigests, minSilenceBound, livenessTimeout);
}

bool RegionTable::fellSilent(const std::string &daemon, SteadyTime now) const
{
    const auto found = peers_.find(daemon);
    if (found == peers_.end()) {
        // The record may outlive the daemon by the rest of its lease.
        const auto name = listedDaemons_.find(memberKey(daemon));
        return name != listedDaemons_.end() && now - name->second.since > firstDigestTimeout;
    }
    const bool near = found->second.region == ownRegion_;
    return now - found->second.heard > (near ? silenceBound() : livenessTimeout);
}

bool RegionTable::isSilentRegion(const std::string &region, SteadyTime now) const
{
    const auto found = regions_.find(region);
    return found == regions_.end() || now - found->second.summaryAt > maxRegionSilence;
}

Wire::DaemonPhase RegionTable::phaseOf(const std::string &daemon) const
{
    const auto found = peers_.find(daemon);
    return found == peers_.end() ? Wire::DaemonPhase::Serving : found->second.phase;
}

std::vector<RegionCandidate> RegionTable::candidates(const std::string &service, const ServiceSpec &spec,
                                                     const PromptFacts &prompt, Urgency urgency, SteadyTime now,
                                                     std::vector<std::string> &regionNames) const
{
    std::vector<RegionCandidate> result;
    const std::uint64_t key = serviceKey(service);
    for (const auto &[region, known] : regions_) {
        const auto summary = known.services.find(key);
        if (summary == known.services.end() || now - summary->second.at > maxSummaryAge || summary->second.upstreams <= 0
            || summary->second.tokensPerMs <= 0) {
            continue;
        }
        const double capacity = sharedPartShare * static_cast<double>(spec.memoryTokens) * summary->second.upstreams;
        RegionCandidate candidate;
        candidate.index = static_cast<std::uint32_t>(regionNames.size());
        const double forwardedMs
            = recentlyForwarded(summary->second, now) / (summary->second.tokensPerMs * summary->second.upstreams);
        candidate.waitMs = summary->second.waitMs.at(static_cast<std::size_t>(urgency)) + forwardedMs;
        candidate.lateWaitMs = summary->second.waitMs.back() + forwardedMs;
        candidate.cachedTokens = known.prefixes.keptTokens(prompt.parts, capacity);
        candidate.upstreams = summary->second.upstreams;
        candidate.tokensPerMs = summary->second.tokensPerMs;
        candidate.running = summary->second.running;
        candidate.tokenMs = summary->second.tokenMs;
        candidate.distanceMs = distanceMs;
        regionNames.push_back(region);
        result.push_back(candidate);
    }
    return result;
}

const DaemonRecord *RegionTable::pick(const FleetView &view, const std::string &region, const std::string &service,
                                      const std::vector<std::string> &tried, SteadyTime now, RandomSource &random) const
{
    const std::vector<const DaemonRecord *> &daemons = usableDaemons(view, region, now);
    if (daemons.empty()) {
        return nullptr;
    }
    const ServiceSet bit = bitOf(view, service);
    const std::size_t first = random.below(daemons.size());
    const DaemonRecord *older = nullptr;
    for (std::size_t offset = 0; offset < daemons.size(); ++offset) {
        const DaemonRecord *daemon = daemons[(first + offset) % daemons.size()];
        const bool isCutOff = (unreachableFrom(daemon->id) & bit) != 0;
        if (isCutOff || std::find(tried.begin(), tried.end(), daemon->id) != tried.end()) {
            continue;
        }
        if (!isOlder(daemon->id, now)) {
            return daemon;
        }
        older = daemon;
    }
    return older;
}

void RegionTable::markOlder(const std::string &daemon, std::uint64_t version, SteadyTime now)
{
    Peer &peer = peers_[daemon];
    peer.olderUntil = now + olderTime;
    peer.missingVersion = version;
    lastOlderUntil_ = peer.olderUntil;
}

bool RegionTable::isOlder(const std::string &daemon, SteadyTime now) const
{
    if (!knowsOlder(now)) {
        return false;
    }
    const auto peer = peers_.find(daemon);
    return peer != peers_.end() && peer->second.olderUntil > now && peer->second.configVersion < peer->second.missingVersion;
}

bool RegionTable::knowsOlder(SteadyTime now) const
{
    return lastOlderUntil_ > now;
}

void RegionTable::markCutOff(const std::string &daemon, ServiceSet services)
{
    peers_[daemon].unreachable |= services;
}

ServiceSet RegionTable::unreachableFrom(const std::string &daemon) const
{
    const auto peer = peers_.find(daemon);
    return peer == peers_.end() ? ServiceSet{ 0 } : peer->second.unreachable;
}

const std::vector<const DaemonRecord *> &RegionTable::usableDaemons(const FleetView &view, const std::string &region,
                                                                    SteadyTime now) const
{
    UsableDaemons &known = usableDaemons_[region];
    const bool fresh = known.view == &view && now >= known.at && now - known.at < usableCacheTime;
    if (fresh) {
        return known.daemons;
    }
    known = { &view, now, {} };
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == region && !daemon.leaving && isReachable(daemon.id, now)
            && phaseOf(daemon.id) == Wire::DaemonPhase::Serving) {
            known.daemons.push_back(&daemon);
        }
    }
    return known.daemons;
}

const DaemonRecord *RegionTable::pickBeside(const FleetView &view, const DaemonRecord &ending, SteadyTime now,
                                            RandomSource &random) const
{
    std::vector<const DaemonRecord *> serving;
    std::vector<const DaemonRecord *> stopping;
    for (const DaemonRecord &daemon : view.daemons) {
        const Wire::DaemonPhase phase = phaseOf(daemon.id);
        if (daemon.region != ending.region || daemon.id == ending.id || !isReachable(daemon.id, now)
            || phase == Wire::DaemonPhase::Starting) {
            continue;
        }
        const bool serves = phase == Wire::DaemonPhase::Serving && !daemon.leaving;
        (serves ? serving : stopping).push_back(&daemon);
    }
    const std::vector<const DaemonRecord *> &others = serving.empty() ? stopping : serving;
    return others.empty() ? nullptr : others[random.below(others.size())];
}

bool RegionTable::isReachable(const std::string &daemon, SteadyTime now) const
{
    const auto peer = peers_.find(daemon);
    return peer != peers_.end() && now - peer->second.heard < livenessTimeout && peer->second.avoidedUntil < now;
}

/// The other daemons of this region see the same summaries and forward as much as this one: without counting them, all choose the
/// region that is idle in its last summary, and its queue doubles before the next one arrives. What is forwarded all the time
/// shows in the summaries, so that only the excess over it counts.
double RegionTable::recentlyForwarded(const ServiceState &service, SteadyTime now) const
{
    const double usual = service.forwardedUsually.at(now) * (summaryDelay / usualForwardsTime);
    return std::max(0.0, service.forwardedRecently.at(now) - usual) * daemonsInOwnRegion_;
}

void RegionTable::recordForwarded(const std::string &region, const std::string &service, const PromptFacts &prompt,
                                  SteadyTime now)
{
    Region &known = regions_[region];
    ServiceState &state = known.services[serviceKey(service)];
    state.forwardedRecently.add(prompt.promptTokens, now);
    state.forwardedUsually.add(prompt.promptTokens, now);
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
        known.prefixes.advance(prompt.parts[index].tokens);
        known.prefixes.note(prompt.parts[index].chainHash);
    }
}

} // namespace Portpaddle
