// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Estimates which parts of prompts are in the prefix caches of engines.
#pragma once

#include "portpaddle/callers/caller_request.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Remembers which parts of prompts an upstream used recently. Ages are counted in tokens prefilled since, because the upstream
/// evicts cached parts in that measure.
class PrefixMemory
{
public:
    /// Records that the upstream prefilled @p tokens that were not cached: all other parts age by as much.
    void advance(double tokens);
    /// Records that the part was used now. Returns its previous age in tokens; infinite for a part that is not remembered.
    double note(std::uint64_t chainHash);
    /// Returns the leading tokens of @p parts that should still be cached in an upstream with room for @p capacityTokens.
    double keptTokens(const std::vector<PromptPart> &parts, double capacityTokens) const;
    /// Returns the total of the tokens that the upstream is known to have prefilled.
    double clock() const
    {
        return clock_;
    }

private:
    void trim();

    /// The value of the clock when each part was last used.
    std::unordered_map<std::uint64_t, double> usedAt_;
    double clock_ = 0;
};

} // namespace Portpaddle
