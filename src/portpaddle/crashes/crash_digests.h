// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The digests by which daemons report to each other the requests that were running when upstreams crashed.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/placement/load_digest.h"

#include <algorithm>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// Converts a fingerprint to and from the type of the wire format.
Wire::RequestDigest toWire(const RequestFingerprint &request);
RequestFingerprint fromWire(const Wire::RequestDigest &request);

/// Returns the rank of @p daemon for @p request by rendezvous hashing, at most @p maxRank. The first daemons count the crashes
/// under the request.
std::size_t countingRank(const FleetView &view, std::string_view daemon, const RequestFingerprint &request, std::size_t maxRank);

/// Returns the link addresses of the daemons that count for @p request, without @p ownId.
std::vector<std::string> countingLinks(const FleetView &view, std::string_view ownId, const RequestFingerprint &request);

/// Calls @p send with chunks of at most as many items as one digest holds.
template<typename Item>
void forEachChunk(std::span<const Item> items, const auto &send)
{
    while (!items.empty()) {
        const std::span<const Item> chunk = items.first(std::min(maxDigestCrashes, items.size()));
        send(std::vector<Item>(chunk.begin(), chunk.end()));
        items = items.subspan(chunk.size());
    }
}

/// Sends each entry several times, since datagrams may be lost. Belongs to one event loop.
class CrashDigests
{
public:
    explicit CrashDigests(std::string ownId);

    /// Reports a crash of @p upstream under @p request to the daemons that count for the request.
    void recordCrash(const RequestFingerprint &request, std::uint64_t upstream);
    /// Announces to all daemons that @p request is quarantined.
    void recordQuarantined(const RequestFingerprint &request);
    /// Returns the digests to send now. Call once in each digest interval.
    std::vector<OutgoingDigest> due(const FleetView &view, const Wire::LoadDigestT &header);

private:
    /// An item that is sent in the next @p sendsLeft digests.
    template<typename Item>
    struct PendingItem
    {
        Item item;
        unsigned sendsLeft;
    };

    void addEnded(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);
    void addQuarantined(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);

    std::string ownId_;
    std::deque<PendingItem<Wire::EndedUnder>> crashes_;
    std::deque<PendingItem<Wire::RequestDigest>> quarantined_;
};

} // namespace Portpaddle
