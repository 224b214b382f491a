// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/region_table.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Both ways between regions; links there take some 55 ms one way.
constexpr double distanceMs = 115;
// News of another region come a few times a second; older ones mean that the link is cut.
constexpr std::chrono::milliseconds newsAge{ 1'500 };
constexpr std::chrono::milliseconds heardAge{ 2'000 };
constexpr std::chrono::milliseconds shunTime{ 1'000 };
// Datagrams are lost now and then and small VMs pause; this many in a row are not.
constexpr int missedDigests = 7;
constexpr std::chrono::milliseconds shortestSilence{ 800 };
// The memory of parts counts only shared ones here; those that belong to one request push them out of the engines' memory. At
// about half of the tokens each, this part of it remains for shared ones.
constexpr double sharedPartShare = 0.3;
// A daemon that vanished may be back within this time and spend its share of a bound at once.
constexpr std::chrono::milliseconds rememberAge{ 20'000 };

} // namespace

std::uint64_t serviceKey(const std::string &service)
{
    return stableHash(service);
}

void RegionTable::setOwnRegion(std::string region)
{
    ownRegion_ = std::move(region);
}

void RegionTable::takeDigest(const Wire::LoadDigestT &digest, SteadyTime now)
{
    Peer &peer = peers_[digest.daemon];
    if (digest.sequence <= peer.sequence && now - peer.heard < heardAge) {
        return;
    }
    peer.region = digest.region;
    peer.sequence = digest.sequence;
    peer.phase = digest.phase;
    peer.heard = now;
    if (digest.region == ownRegion_) {
        return;
    }
    Region &region = regions_[digest.region];
    for (const Wire::ServiceWait &service : digest.services) {
        const double patientWaitMs = service.patient_wait_ms();
        ServiceNews news;
        news.waitMs = { double(service.urgent_wait_ms()), double(service.usual_wait_ms()), patientWaitMs, patientWaitMs };
        news.upstreams = service.upstreams();
        news.tokensPerMs = service.tokens_per_ms();
        news.running = service.running();
        news.tokenMs = service.token_ms();
        news.at = now;
        region.services[service.service()] = news;
    }
    for (const Wire::PlacedPart &part : digest.placed) {
        region.prefixes.advance(part.tokens());
        region.prefixes.note(part.chain());
    }
}

void RegionTable::unreachable(const std::string &daemon, SteadyTime now)
{
    peers_[daemon].shunnedUntil = now + shunTime;
}

void RegionTable::setDigestInterval(std::chrono::milliseconds interval)
{
    digestInterval_ = interval;
}

std::chrono::milliseconds RegionTable::silenceBound() const
{
    return std::clamp<std::chrono::milliseconds>(digestInterval_ * missedDigests, shortestSilence, heardAge);
}

bool RegionTable::fellSilent(const std::string &daemon, SteadyTime now) const
{
    const auto found = peers_.find(daemon);
    if (found == peers_.end()) {
        return false;
    }
    const bool near = found->second.region == ownRegion_;
    return now - found->second.heard > (near ? silenceBound() : heardAge);
}

Wire::DaemonPhase RegionTable::phaseOf(const std::string &daemon) const
{
    const auto found = peers_.find(daemon);
    return found == peers_.end() ? Wire::DaemonPhase::Serving : found->second.phase;
}

unsigned RegionTable::daemonsInOwnRegion(SteadyTime now) const
{
    unsigned count = 1;
    for (const auto &[id, peer] : peers_) {
        count += peer.region == ownRegion_ && now - peer.heard < rememberAge ? 1 : 0;
    }
    return count;
}

std::vector<RegionCandidate> RegionTable::candidates(const std::string &service, const ServiceSpec &spec,
                                                     const PromptFacts &prompt, Urgency urgency, SteadyTime now,
                                                     std::vector<std::string> &regionNames) const
{
    std::vector<RegionCandidate> result;
    const std::uint64_t key = serviceKey(service);
    for (const auto &[region, known] : regions_) {
        const auto news = known.services.find(key);
        if (news == known.services.end() || now - news->second.at > newsAge || news->second.upstreams <= 0
            || news->second.tokensPerMs <= 0) {
            continue;
        }
        const double capacity = sharedPartShare * static_cast<double>(spec.memoryTokens) * news->second.upstreams;
        RegionCandidate candidate;
        candidate.index = static_cast<std::uint32_t>(regionNames.size());
        candidate.waitMs = news->second.waitMs.at(static_cast<std::size_t>(urgency))
            + news->second.sentSince / (news->second.tokensPerMs * news->second.upstreams);
        candidate.cachedTokens = known.prefixes.keptTokens(prompt.parts, capacity);
        candidate.upstreams = news->second.upstreams;
        candidate.tokensPerMs = news->second.tokensPerMs;
        candidate.running = news->second.running;
        candidate.tokenMs = news->second.tokenMs;
        candidate.distanceMs = distanceMs;
        regionNames.push_back(region);
        result.push_back(candidate);
    }
    return result;
}

const DaemonRecord *RegionTable::pick(const FleetView &view, const std::string &region, SteadyTime now,
                                      RandomSource &random) const
{
    std::vector<const DaemonRecord *> usable;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == region && !daemon.leaving && isHeard(daemon.id, now)
            && phaseOf(daemon.id) == Wire::DaemonPhase::Serving) {
            usable.push_back(&daemon);
        }
    }
    return usable.empty() ? nullptr : usable[random.below(usable.size())];
}

const DaemonRecord *RegionTable::pickBeside(const FleetView &view, const DaemonRecord &ending, SteadyTime now,
                                            RandomSource &random) const
{
    if (const DaemonRecord *serving = pick(view, ending.region, now, random); serving != nullptr && serving->id != ending.id) {
        return serving;
    }
    std::vector<const DaemonRecord *> others;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == ending.region && daemon.id != ending.id && isHeard(daemon.id, now)
            && phaseOf(daemon.id) != Wire::DaemonPhase::Starting) {
            others.push_back(&daemon);
        }
    }
    return others.empty() ? nullptr : others[random.below(others.size())];
}

bool RegionTable::isHeard(const std::string &daemon, SteadyTime now) const
{
    const auto peer = peers_.find(daemon);
    return peer != peers_.end() && now - peer->second.heard < heardAge && peer->second.shunnedUntil < now;
}

void RegionTable::sentAway(const std::string &region, const std::string &service, const PromptFacts &prompt)
{
    Region &known = regions_[region];
    known.services[serviceKey(service)].sentSince += prompt.promptTokens;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
        known.prefixes.advance(prompt.parts[index].tokens);
        known.prefixes.note(prompt.parts[index].chainHash);
    }
}

} // namespace Portpaddle
