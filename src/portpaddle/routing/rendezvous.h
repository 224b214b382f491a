// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Weighted rendezvous hashing: every daemon ranks the same members in the same order without coordination.
#pragma once

#include <cstdint>
#include <string_view>

namespace Portpaddle {

/// Returns a hash of @p text that is the same in all versions of the program.
std::uint64_t stableHash(std::string_view text);
/// Returns the score of a member for a key; the member with the greatest score ranks first. Scores are at most zero.
double rendezvousScore(std::uint64_t key, std::uint64_t member, double weight);

} // namespace Portpaddle
