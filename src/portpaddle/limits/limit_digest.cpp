// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/limit_digest.h"

#include <algorithm>
#include <iterator>

namespace Portpaddle {

namespace {

// A digest with this many bytes of other entries still fits the maximum number of entries of one kind below the usual path MTU.
constexpr std::size_t maxOtherEntryBytes = 600;
constexpr std::size_t maxEntryBytes = maxDigestLimits * sizeof(Wire::LimitCount);

std::size_t entryBytes(const Wire::LoadDigestT &digest)
{
    return digest.upstreams.size() * sizeof(Wire::UpstreamShare) + digest.placed.size() * sizeof(Wire::PlacedPart)
        + digest.services.size() * sizeof(Wire::ServiceWait) + digest.members.size() * sizeof(Wire::MemberNews);
}

template<typename Entry>
void moveEntries(std::vector<Entry> &from, std::vector<Entry> &to, std::size_t maxEntries)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxEntries, from.size()));
    to.assign(std::prev(from.end(), count), from.end());
    from.erase(std::prev(from.end(), count), from.end());
}

/// Moves entries and those by urgency for the same organisations.
template<typename Entry, typename UrgencyEntry>
void movePairs(std::vector<Entry> &from, std::vector<UrgencyEntry> &fromUrgency, std::vector<Entry> &to,
               std::vector<UrgencyEntry> &toUrgency)
{
    const std::size_t bytes = sizeof(Entry) + (fromUrgency.empty() ? 0 : sizeof(UrgencyEntry));
    const std::size_t maxEntries = std::min(maxDigestLimits, maxEntryBytes / bytes);
    moveEntries(from, to, maxEntries);
    moveEntries(fromUrgency, toUrgency, maxEntries);
}

/// Adds entries of one kind only, so that the maximum number of them still fits.
void addEntries(Wire::LoadDigestT &digest, LimitDigest &limitEntries)
{
    if (!limitEntries.counts.empty()) {
        movePairs(limitEntries.counts, limitEntries.urgencyCounts, digest.limit_counts, digest.limit_urgency_counts);
    } else if (!limitEntries.grants.empty()) {
        movePairs(limitEntries.grants, limitEntries.urgencyGrants, digest.limit_grants, digest.limit_urgency_grants);
    } else {
        movePairs(limitEntries.demands, limitEntries.urgencyDemands, digest.limit_demands, digest.limit_urgency_demands);
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
