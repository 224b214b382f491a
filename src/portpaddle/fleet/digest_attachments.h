// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Adds lists of entries to the digests for the own region that are sent anyway, within the size of a datagram.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/placement/load_digest.h"

#include <algorithm>
#include <span>
#include <vector>

namespace Portpaddle {

/// The list of a digest that holds entries of one type.
template<typename Entry>
using DigestList = std::vector<Entry> Wire::LoadDigestT::*;

/// Returns a digest with the sender of @p header and nothing else.
Wire::LoadDigestT emptyDigest(const Wire::LoadDigestT &header);
/// Returns the bytes that a list may add to @p digest.
std::size_t roomForList(const Wire::LoadDigestT &digest);
/// Returns the first digest of @p due to the daemons of the own region about the upstreams of @p shard; null if there is none.
OutgoingDigest *firstOfShard(std::vector<OutgoingDigest> &due, unsigned shard);

/// Moves as many entries of @p rest to the list of @p digest as fit into its datagram, at most @p maxCount.
template<typename Entry>
void moveFitting(Wire::LoadDigestT &digest, DigestList<Entry> list, std::span<const Entry> &rest, std::size_t maxCount)
{
    const std::size_t count = std::min({ rest.size(), maxCount, roomForList(digest) / sizeof(Entry) });
    (digest.*list).assign(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(count));
    rest = rest.subspan(count);
}

/// Adds @p entries to the digests of @p due about @p shard; what has no room goes into one further digest, and the rest is
/// dropped.
template<typename Entry>
void attachToShard(std::vector<OutgoingDigest> &due, const Wire::LoadDigestT &header, unsigned shard, DigestList<Entry> list,
                   const std::vector<Entry> &entries, std::size_t maxCount)
{
    OutgoingDigest *first = firstOfShard(due, shard);
    std::span<const Entry> rest(entries);
    if (first == nullptr || rest.empty()) {
        return;
    }
    moveFitting(first->digest, list, rest, maxCount);
    if (rest.empty()) {
        return;
    }
    OutgoingDigest more{ first->to, emptyDigest(header) };
    more.digest.kind = first->digest.kind;
    more.digest.shard = first->digest.shard;
    moveFitting(more.digest, list, rest, maxCount);
    due.push_back(std::move(more));
}

/// Adds @p entries to @p digests, and further digests for those that have no room.
template<typename Entry>
void attachToAll(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, DigestList<Entry> list,
                 const std::vector<Entry> &entries, std::size_t maxCount)
{
    std::span<const Entry> rest(entries);
    for (Wire::LoadDigestT &digest : digests) {
        if (!rest.empty()) {
            moveFitting(digest, list, rest, maxCount);
        }
    }
    while (!rest.empty()) {
        Wire::LoadDigestT more = emptyDigest(header);
        more.sequence = header.sequence + digests.size();
        moveFitting(more, list, rest, maxCount);
        digests.push_back(std::move(more));
    }
}

} // namespace Portpaddle
