// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/prefix_affinity.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>

namespace Portpaddle {

namespace {

// The shared parts of a prompt have one preferred region, so that they are prefilled once in all, and two preferred upstreams in
// each region, so that load can be balanced between them. Each constant is the fraction of the shared tokens expected in
// the cache of that region or upstream.
constexpr std::array cachedInPreferredRegion{ 0.9, 0.6 };
constexpr std::array cachedInOtherRegion{ 0.3, 0.2 };

const AffinityRegion *preferredRegion(std::uint64_t prefixHash, std::span<const AffinityRegion> regions)
{
    const AffinityRegion *preferred = nullptr;
    double best = -std::numeric_limits<double>::infinity();
    for (const AffinityRegion &region : regions) {
        if (region.upstreams <= 0) {
            continue;
        }
        const double score = rendezvousScore(prefixHash, region.key, region.upstreams);
        if (score > best) {
            best = score;
            preferred = &region;
        }
    }
    return preferred;
}

} // namespace

void applyPrefixAffinity(const PromptFacts &prompt, std::span<const AffinityRegion> regions,
                         std::vector<AffinityUpstream> upstreams)
{
    if (prompt.parts.size() < 2) {
        return;
    }
    // The first parts are common to many prompts and are cached everywhere; the last shared part distinguishes prompts.
    const std::uint64_t prefixHash = prompt.parts[prompt.parts.size() - 2].chainHash;
    const double shared = prompt.sharedTokens();
    const AffinityRegion *preferred = preferredRegion(prefixHash, regions);
    for (const AffinityRegion &region : regions) {
        if (region.region != nullptr) {
            const double kept = &region == preferred ? cachedInPreferredRegion.front() : cachedInOtherRegion.front();
            region.region->cachedTokens = std::max(region.region->cachedTokens, kept * shared);
        }
    }
    const bool ownIsPreferred = preferred != nullptr && preferred->region == nullptr;
    const auto &kept = ownIsPreferred ? cachedInPreferredRegion : cachedInOtherRegion;
    const std::size_t preferredCount = std::min(upstreams.size(), kept.size());
    const auto score = [prefixHash](const AffinityUpstream &candidate) { return rendezvousScore(prefixHash, candidate.key, 1); };
    std::partial_sort(upstreams.begin(), upstreams.begin() + static_cast<std::ptrdiff_t>(preferredCount), upstreams.end(),
                      [&score](const AffinityUpstream &one, const AffinityUpstream &other) { return score(one) > score(other); });
    for (std::size_t rank = 0; rank < preferredCount; ++rank) {
        UpstreamCandidate &upstream = *upstreams[rank].upstream;
        upstream.cachedTokens = std::max(upstream.cachedTokens, kept.at(rank) * shared);
    }
}

} // namespace Portpaddle
