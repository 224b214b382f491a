// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which parts of prompts lie in the memory of engines.
#pragma once

#include "portpaddle/gateway/caller_request.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Remembers which parts of prompts an upstream read lately. Ages are counted in tokens read since, as its memory evicts.
class PrefixMemory
{
public:
    /// The upstream read @p tokens that it did not keep: whatever was not used since is older by as much.
    void advance(double tokens);
    /// The part was used just now. Gives its age in tokens before, infinite for one that is not remembered.
    double note(std::uint64_t chainHash);
    /// Leading tokens of @p parts that should still be there when it keeps @p capacityTokens.
    double keptTokens(const std::vector<PromptPart> &parts, double capacityTokens) const;
    /// All tokens that it ever read, as far as is known.
    double clock() const
    {
        return clock_;
    }

private:
    void trim();

    /// When each part was used last.
    std::unordered_map<std::uint64_t, double> usedAt_;
    double clock_ = 0;
};

} // namespace Portpaddle
