// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Where the shared parts of a prompt are expected to lie: every daemon ranks regions and upstreams alike, without agreement.
#pragma once

#include "portpaddle/gateway/caller_request.h"
#include "portpaddle/gateway/placement.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Portpaddle {

/// An upstream that may be a home, and its key in the ranking.
struct HomeCandidate
{
    UpstreamCandidate *upstream = nullptr;
    std::uint64_t key = 0;
};

/// A region that may be a home; the own one has no candidate.
struct HomeRegion
{
    RegionCandidate *region = nullptr;
    std::uint64_t key = 0;
    /// Upstreams there: regions are chosen in proportion.
    double upstreams = 0;
};

/// Raises what the homes of @p prompt are expected to keep. Prompts without a shared part have no home.
void expectAtHomes(const PromptFacts &prompt, std::span<const HomeRegion> regions, std::vector<HomeCandidate> upstreams);

} // namespace Portpaddle
