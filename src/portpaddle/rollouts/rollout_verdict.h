// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Judges from counts of answers whether a new version is worse than the older ones.
#pragma once

#include "portpaddle/rollouts/rollout_counts.h"

#include <string>
#include <string_view>

namespace Portpaddle {

/// What is worse about a new version.
enum class RolloutFault { None, Failures, Slowness };
std::string_view nameOf(RolloutFault fault);

/// The fault found, with the answers of the new version behind it.
struct RolloutVerdict
{
    RolloutFault fault = RolloutFault::None;
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;

    bool isBad() const;
    std::string text() const;
};

/// Compares the versions on each route by itself and on all routes together.
RolloutVerdict judge(const RolloutCounts &counts);

} // namespace Portpaddle
