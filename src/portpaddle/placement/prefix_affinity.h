// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Prefix affinity: predicts where the shared parts of a prompt are cached. Every daemon computes the same ranking of regions and
/// upstreams, without coordination.
#pragma once

#include "portpaddle/callers/caller_request.h"
#include "portpaddle/placement/placement.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Portpaddle {

/// An upstream in the ranking, and its key.
struct AffinityUpstream
{
    UpstreamCandidate *upstream = nullptr;
    std::uint64_t key = 0;
};

/// A region in the ranking; the own region has no candidate.
struct AffinityRegion
{
    RegionCandidate *region = nullptr;
    std::uint64_t key = 0;
    /// Number of upstreams in the region, used as its weight.
    double upstreams = 0;
};

/// Raises the cached tokens expected at the region and the upstreams that rank first for @p prompt. Does nothing for prompts
/// without a shared part.
void applyPrefixAffinity(const PromptFacts &prompt, std::span<const AffinityRegion> regions,
                         std::vector<AffinityUpstream> upstreams);

} // namespace Portpaddle
