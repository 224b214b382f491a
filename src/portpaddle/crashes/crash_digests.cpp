// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_digests.h"

#include "portpaddle/gateway/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <span>

namespace Portpaddle {

namespace {

// Of ten datagrams one may be lost: all three are lost once in a thousand times.
constexpr unsigned timesTold = 3;
// In each region, so that those of a region that is cut off still count what ends there; two, as one may just have stopped.
constexpr std::size_t countingInRegion = 2;
// Waiting to be told; a crash of a large upstream brings some hundred.
constexpr std::size_t maxWaiting = 2'048;

std::uint64_t hashOf(const RequestFingerprint &request)
{
    return request.high ^ request.low;
}

template<typename Item>
std::vector<Item> takeDue(auto &waiting)
{
    std::vector<Item> due;
    for (auto &told : waiting) {
        due.push_back(told.item);
        --told.timesLeft;
    }
    std::erase_if(waiting, [](const auto &told) { return told.timesLeft == 0; });
    return due;
}

/// Calls @p tell with as many items at a time as one digest holds.
template<typename Item>
void inPieces(std::span<const Item> items, auto tell)
{
    while (!items.empty()) {
        const std::span<const Item> piece = items.first(std::min(maxDigestCrashes, items.size()));
        tell(std::vector<Item>(piece.begin(), piece.end()));
        items = items.subspan(piece.size());
    }
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

std::size_t countingRank(const FleetView &view, std::string_view daemon, const RequestFingerprint &request, std::size_t most)
{
    const double own = rendezvousScore(hashOf(request), stableHash(daemon), 1);
    const auto before = std::count_if(view.daemons.begin(), view.daemons.end(), [&](const DaemonRecord &other) {
        return !other.leaving && rendezvousScore(hashOf(request), stableHash(other.id), 1) > own;
    });
    return std::min(most, static_cast<std::size_t>(before));
}

CrashDigests::CrashDigests(std::string ownId) : ownId_(std::move(ownId))
{
}

void CrashDigests::endedUnder(const RequestFingerprint &request, std::uint64_t upstream)
{
    if (ended_.size() < maxWaiting) {
        ended_.push_back({ Wire::EndedUnder(toWire(request), upstream), timesTold });
    }
}

void CrashDigests::quarantined(const RequestFingerprint &request)
{
    if (quarantined_.size() < maxWaiting) {
        quarantined_.push_back({ toWire(request), timesTold });
    }
}

std::vector<std::string> CrashDigests::counting(const FleetView &view, const RequestFingerprint &request) const
{
    std::map<std::string, std::vector<std::pair<double, const DaemonRecord *>>> regions;
    for (const DaemonRecord &daemon : view.daemons) {
        if (!daemon.leaving) {
            regions[daemon.region].emplace_back(-rendezvousScore(hashOf(request), stableHash(daemon.id), 1), &daemon);
        }
    }
    std::vector<std::string> links;
    for (auto &[region, ranked] : regions) {
        const std::size_t count = std::min(countingInRegion, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        for (std::size_t index = 0; index < count; ++index) {
            if (ranked[index].second->id != ownId_) {
                links.push_back(ranked[index].second->linkAddress);
            }
        }
    }
    return links;
}

std::vector<OutgoingDigest> CrashDigests::due(const FleetView &view, const Wire::LoadDigestT &header)
{
    std::vector<OutgoingDigest> out;
    if (ended_.empty() && quarantined_.empty()) {
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
    for (const Wire::EndedUnder &ended : takeDue<Wire::EndedUnder>(ended_)) {
        for (const std::string &link : counting(view, fromWire(ended.request()))) {
            byLink[link].push_back(ended);
        }
    }
    for (const auto &[link, items] : byLink) {
        inPieces(std::span<const Wire::EndedUnder>(items), [&, &to = link](std::vector<Wire::EndedUnder> piece) {
            Wire::LoadDigestT digest = header;
            digest.ended_under = std::move(piece);
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
    inPieces(std::span<const Wire::RequestDigest>(requests), [&](std::vector<Wire::RequestDigest> piece) {
        Wire::LoadDigestT digest = header;
        digest.quarantined = std::move(piece);
        out.push_back({ links, std::move(digest) });
    });
}

} // namespace Portpaddle
