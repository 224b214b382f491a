// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Weighted rendezvous hashing: every daemon ranks the same members alike without any agreement.
#pragma once

#include <cstdint>
#include <string_view>

namespace Portpaddle {

/// Hashes text; stable over versions of the program.
std::uint64_t stableHash(std::string_view text);
/// The draw of a member for a key; the member with the greatest draw wins. Draws are at most zero.
double rendezvousScore(std::uint64_t key, std::uint64_t member, double weight);

} // namespace Portpaddle
