// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/digest_attachments.h"

namespace Portpaddle {

namespace {

// The length of the vector, its offset in the table, its place in the table's list of fields, and padding.
constexpr std::size_t vectorOverheadBytes = 24;

bool goesToOwnRegion(const Wire::LoadDigestT &digest)
{
    return digest.kind == Wire::DigestKind::Report || digest.kind == Wire::DigestKind::Sum;
}

} // namespace

Wire::LoadDigestT emptyDigest(const Wire::LoadDigestT &header)
{
    Wire::LoadDigestT digest;
    digest.daemon = header.daemon;
    digest.region = header.region;
    digest.phase = header.phase;
    digest.config_version = header.config_version;
    digest.unreachable = header.unreachable;
    return digest;
}

std::size_t roomForList(const Wire::LoadDigestT &digest)
{
    const std::size_t usedBytes = encodeDigest(digest).size() + vectorOverheadBytes;
    return usedBytes < maxLoadDatagramBytes ? maxLoadDatagramBytes - usedBytes : 0;
}

OutgoingDigest *firstOfShard(std::vector<OutgoingDigest> &due, unsigned shard)
{
    const auto first = std::find_if(due.begin(), due.end(), [shard](const OutgoingDigest &outgoing) {
        return goesToOwnRegion(outgoing.digest) && outgoing.digest.shard == shard;
    });
    return first == due.end() ? nullptr : &*first;
}

} // namespace Portpaddle
