// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/prefix_memory.h"

#include <algorithm>
#include <limits>

namespace Portpaddle {

namespace {

// Takes a few hundred kilobytes for each engine; older parts were evicted from its memory long before.
constexpr std::size_t maxRememberedParts = 8'192;

} // namespace

void PrefixMemory::advance(double tokens)
{
    clock_ += tokens;
}

double PrefixMemory::note(std::uint64_t chainHash)
{
    const auto [entry, added] = usedAt_.try_emplace(chainHash, clock_);
    const double age = added ? std::numeric_limits<double>::infinity() : clock_ - entry->second;
    entry->second = clock_;
    if (usedAt_.size() > maxRememberedParts) {
        trim();
    }
    return age;
}

/// Removes the older half of the parts.
void PrefixMemory::trim()
{
    std::vector<double> clocks;
    clocks.reserve(usedAt_.size());
    for (const auto &[hash, clock] : usedAt_) {
        clocks.push_back(clock);
    }
    const auto middle = clocks.begin() + static_cast<std::ptrdiff_t>(clocks.size() / 2);
    std::nth_element(clocks.begin(), middle, clocks.end());
    std::erase_if(usedAt_, [bound = *middle](const auto &item) { return item.second < bound; });
}

double PrefixMemory::keptTokens(const std::vector<PromptPart> &parts, double capacityTokens) const
{
    double kept = 0;
    for (const PromptPart &part : parts) {
        const auto found = usedAt_.find(part.chainHash);
        if (found == usedAt_.end() || clock_ - found->second > capacityTokens) {
            break;
        }
        kept += part.tokens;
    }
    return kept;
}

} // namespace Portpaddle
