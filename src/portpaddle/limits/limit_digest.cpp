// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/limit_digest.h"

#include <algorithm>
#include <iterator>

namespace Portpaddle {

namespace {

// A digest with so many bytes of other entries still takes the most entries of one kind below the usual path MTU.
constexpr std::size_t roomyBytes = 600;

std::size_t entryBytes(const Wire::LoadDigestT &digest)
{
    return digest.upstreams.size() * sizeof(Wire::UpstreamShare) + digest.placed.size() * sizeof(Wire::PlacedPart)
        + digest.services.size() * sizeof(Wire::ServiceWait) + digest.members.size() * sizeof(Wire::MemberNews);
}

template<typename Entry>
void moveSome(std::vector<Entry> &from, std::vector<Entry> &to)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxDigestLimits, from.size()));
    to.assign(std::prev(from.end(), count), from.end());
    from.erase(std::prev(from.end(), count), from.end());
}

/// One kind at a time, so that a full one still fits.
void fill(Wire::LoadDigestT &digest, LimitDigest &news)
{
    if (!news.counts.empty()) {
        moveSome(news.counts, digest.limit_counts);
    } else if (!news.grants.empty()) {
        moveSome(news.grants, digest.limit_grants);
    } else {
        moveSome(news.demands, digest.limit_demands);
    }
}

} // namespace

bool LimitDigest::empty() const
{
    return counts.empty() && grants.empty() && demands.empty();
}

void attachLimits(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, LimitDigest news)
{
    for (Wire::LoadDigestT &digest : digests) {
        if (!news.empty() && entryBytes(digest) <= roomyBytes) {
            fill(digest, news);
        }
    }
    while (!news.empty()) {
        Wire::LoadDigestT digest = header;
        digest.sequence += digests.size();
        digest.services.clear();
        fill(digest, news);
        digests.push_back(std::move(digest));
    }
}

} // namespace Portpaddle
