// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_digests.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <span>

namespace Portpaddle {

namespace {

// One datagram in ten may be lost; all three are lost once in a thousand cases.
constexpr unsigned sendsPerItem = 3;
// Daemons that count for a request in each region, so that a partitioned region still counts its own crashes; two, since one may
// just have stopped.
constexpr std::size_t countingPerRegion = 2;
// Upper bound of the entries waiting to be sent; a crash of a large upstream adds some hundred.
constexpr std::size_t maxPending = 2'048;

std::uint64_t hashOf(const RequestFingerprint &request)
{
    return request.high ^ request.low;
}

template<typename Item>
std::vector<Item> takeDue(auto &pending)
{
    std::vector<Item> due;
    for (auto &pendingItem : pending) {
        due.push_back(pendingItem.item);
        --pendingItem.sendsLeft;
    }
    std::erase_if(pending, [](const auto &pendingItem) { return pendingItem.sendsLeft == 0; });
    return due;
}

} // namespace

Wire::RequestDigest toWire(const RequestFingerprint &request)
{
    return { request.high, request.low };
}

RequestFingerprint fromWire(const Wire::RequestDigest &request)
{
    return { request.high(), request.low() };
}

std::size_t countingRank(const FleetView &view, std::string_view daemon, const RequestFingerprint &request, std::size_t maxRank)
{
    const double own = rendezvousScore(hashOf(request), stableHash(daemon), 1);
    const auto betterRanked = std::count_if(view.daemons.begin(), view.daemons.end(), [&](const DaemonRecord &other) {
        return !other.leaving && rendezvousScore(hashOf(request), stableHash(other.id), 1) > own;
    });
    return std::min(maxRank, static_cast<std::size_t>(betterRanked));
}

std::vector<std::string> countingLinks(const FleetView &view, std::string_view ownId, const RequestFingerprint &request)
{
    std::map<std::string, std::vector<std::pair<double, const DaemonRecord *>>> regions;
    for (const DaemonRecord &daemon : view.daemons) {
        if (!daemon.leaving) {
            regions[daemon.region].emplace_back(-rendezvousScore(hashOf(request), stableHash(daemon.id), 1), &daemon);
        }
    }
    std::vector<std::string> links;
    for (auto &[region, ranked] : regions) {
        const std::size_t count = std::min(countingPerRegion, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        for (std::size_t index = 0; index < count; ++index) {
            if (ranked[index].second->id != ownId) {
                links.push_back(ranked[index].second->linkAddress);
            }
        }
    }
    return links;
}

CrashDigests::CrashDigests(std::string ownId) : ownId_(std::move(ownId))
{
}

void CrashDigests::recordCrash(const RequestFingerprint &request, std::uint64_t upstream)
{
    if (crashes_.size() < maxPending) {
        crashes_.push_back({ Wire::EndedUnder(toWire(request), upstream), sendsPerItem });
    }
}

void CrashDigests::recordQuarantined(const RequestFingerprint &request)
{
    if (quarantined_.size() < maxPending) {
        quarantined_.push_back({ toWire(request), sendsPerItem });
    }
}

std::vector<OutgoingDigest> CrashDigests::due(const FleetView &view, const Wire::LoadDigestT &header)
{
    std::vector<OutgoingDigest> out;
    if (crashes_.empty() && quarantined_.empty()) {
        return out;
    }
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::Crashes;
    addEnded(view, digest, out);
    addQuarantined(view, digest, out);
    return out;
}

void CrashDigests::addEnded(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out)
{
    std::map<std::string, std::vector<Wire::EndedUnder>> byLink;
    for (const Wire::EndedUnder &ended : takeDue<Wire::EndedUnder>(crashes_)) {
        for (const std::string &link : countingLinks(view, ownId_, fromWire(ended.request()))) {
            byLink[link].push_back(ended);
        }
    }
    for (const auto &[link, items] : byLink) {
        forEachChunk(std::span<const Wire::EndedUnder>(items), [&, &to = link](std::vector<Wire::EndedUnder> chunk) {
            Wire::LoadDigestT digest = header;
            digest.ended_under = std::move(chunk);
            out.push_back({ { to }, std::move(digest) });
        });
    }
}

void CrashDigests::addQuarantined(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out)
{
    std::vector<std::string> links;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.id != ownId_) {
            links.push_back(daemon.linkAddress);
        }
    }
    const std::vector<Wire::RequestDigest> requests = takeDue<Wire::RequestDigest>(quarantined_);
    forEachChunk(std::span<const Wire::RequestDigest>(requests), [&](std::vector<Wire::RequestDigest> chunk) {
        Wire::LoadDigestT digest = header;
        digest.quarantined = std::move(chunk);
        out.push_back({ links, std::move(digest) });
    });
}

} // namespace Portpaddle
