// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/prompt_homes.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>

namespace Portpaddle {

namespace {

// A prompt's shared parts have one region where they are at home, so that they are read once in all, and two upstreams in each
// region, so that load can be levelled between them. Parts of the shared tokens that each is expected to keep.
constexpr std::array keptInHomeRegion{ 0.9, 0.6 };
constexpr std::array keptElsewhere{ 0.3, 0.2 };

const HomeRegion *homeRegion(std::uint64_t topic, std::span<const HomeRegion> regions)
{
    const HomeRegion *home = nullptr;
    double greatest = -std::numeric_limits<double>::infinity();
    for (const HomeRegion &region : regions) {
        if (region.upstreams <= 0) {
            continue;
        }
        const double draw = rendezvousScore(topic, region.key, region.upstreams);
        if (draw > greatest) {
            greatest = draw;
            home = &region;
        }
    }
    return home;
}

} // namespace

void expectAtHomes(const PromptFacts &prompt, std::span<const HomeRegion> regions, std::vector<HomeCandidate> upstreams)
{
    if (prompt.parts.size() < 2) {
        return;
    }
    // The first parts are common to many prompts and lie everywhere; the last shared one tells prompts apart.
    const std::uint64_t topic = prompt.parts[prompt.parts.size() - 2].chainHash;
    const double shared = prompt.sharedTokens();
    const HomeRegion *home = homeRegion(topic, regions);
    for (const HomeRegion &region : regions) {
        if (region.region != nullptr) {
            const double kept = &region == home ? keptInHomeRegion.front() : keptElsewhere.front();
            region.region->cachedTokens = std::max(region.region->cachedTokens, kept * shared);
        }
    }
    const bool atHome = home != nullptr && home->region == nullptr;
    const auto &kept = atHome ? keptInHomeRegion : keptElsewhere;
    const std::size_t homes = std::min(upstreams.size(), kept.size());
    const auto draw = [topic](const HomeCandidate &candidate) { return rendezvousScore(topic, candidate.key, 1); };
    std::partial_sort(upstreams.begin(), upstreams.begin() + static_cast<std::ptrdiff_t>(homes), upstreams.end(),
                      [&draw](const HomeCandidate &one, const HomeCandidate &other) { return draw(one) > draw(other); });
    for (std::size_t rank = 0; rank < homes; ++rank) {
        UpstreamCandidate &upstream = *upstreams[rank].upstream;
        upstream.cachedTokens = std::max(upstream.cachedTokens, kept.at(rank) * shared);
    }
}

} // namespace Portpaddle
