// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/limit_digest.h"

#include <algorithm>
#include <iterator>

namespace Portpaddle {

namespace {

// A digest with this many bytes of other entries still fits the maximum number of entries of one kind below the usual path MTU.
constexpr std::size_t maxOtherEntryBytes = 600;

std::size_t entryBytes(const Wire::LoadDigestT &digest)
{
    return digest.upstreams.size() * sizeof(Wire::UpstreamShare) + digest.placed.size() * sizeof(Wire::PlacedPart)
        + digest.services.size() * sizeof(Wire::ServiceWait) + digest.members.size() * sizeof(Wire::MemberNews);
}

template<typename Entry>
void moveEntries(std::vector<Entry> &from, std::vector<Entry> &to)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxDigestLimits, from.size()));
    to.assign(std::prev(from.end(), count), from.end());
    from.erase(std::prev(from.end(), count), from.end());
}

/// Adds entries of one kind only, so that the maximum number of them still fits.
void addEntries(Wire::LoadDigestT &digest, LimitDigest &limitEntries)
{
    if (!limitEntries.counts.empty()) {
        moveEntries(limitEntries.counts, digest.limit_counts);
    } else if (!limitEntries.grants.empty()) {
        moveEntries(limitEntries.grants, digest.limit_grants);
    } else {
        moveEntries(limitEntries.demands, digest.limit_demands);
    }
}

} // namespace

bool LimitDigest::empty() const
{
    return counts.empty() && grants.empty() && demands.empty();
}

void attachLimits(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, LimitDigest limitEntries)
{
    for (Wire::LoadDigestT &digest : digests) {
        if (!limitEntries.empty() && entryBytes(digest) <= maxOtherEntryBytes) {
            addEntries(digest, limitEntries);
        }
    }
    while (!limitEntries.empty()) {
        Wire::LoadDigestT digest = header;
        digest.sequence += digests.size();
        digest.services.clear();
        addEntries(digest, limitEntries);
        digests.push_back(std::move(digest));
    }
}

} // namespace Portpaddle
