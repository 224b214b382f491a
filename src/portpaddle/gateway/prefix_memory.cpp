// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/prefix_memory.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// A few hundred kilobytes for each engine; older parts have left its memory long before.
constexpr std::size_t mostRememberedParts = 8'192;

} // namespace

void PrefixMemory::note(std::uint64_t chainHash, unsigned tokens)
{
    const auto [entry, added] = entries_.try_emplace(chainHash);
    if (added) {
        clock_ += tokens;
    }
    entry->second.clock = clock_;
    if (entries_.size() > mostRememberedParts) {
        trim();
    }
}

/// Drops the older half.
void PrefixMemory::trim()
{
    std::vector<double> clocks;
    clocks.reserve(entries_.size());
    for (const auto &[hash, entry] : entries_) {
        clocks.push_back(entry.clock);
    }
    const auto middle = clocks.begin() + static_cast<std::ptrdiff_t>(clocks.size() / 2);
    std::nth_element(clocks.begin(), middle, clocks.end());
    std::erase_if(entries_, [bound = *middle](const auto &item) { return item.second.clock < bound; });
}

double PrefixMemory::keptTokens(const std::vector<PromptPart> &parts, double capacityTokens) const
{
    double kept = 0;
    for (const PromptPart &part : parts) {
        const auto found = entries_.find(part.chainHash);
        if (found == entries_.end() || clock_ - found->second.clock > capacityTokens) {
            break;
        }
        kept += part.tokens;
    }
    return kept;
}

} // namespace Portpaddle
