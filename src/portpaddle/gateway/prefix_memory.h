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
    void note(std::uint64_t chainHash, unsigned tokens);
    /// Leading tokens of @p parts that should still be there when it keeps @p capacityTokens.
    double keptTokens(const std::vector<PromptPart> &parts, double capacityTokens) const;

private:
    struct Entry
    {
        double clock = 0;
    };

    void trim();

    std::unordered_map<std::uint64_t, Entry> entries_;
    double clock_ = 0;
};

} // namespace Portpaddle
