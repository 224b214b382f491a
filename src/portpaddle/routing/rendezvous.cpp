// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/routing/rendezvous.h"

#include <cmath>
#include <limits>

#include <xxhash.h>

namespace Portpaddle {

std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

// As in the straw2 buckets of CRUSH: the logarithm of a uniform hash is divided by the weight, so that changing the weight of one
// member moves keys only to or from that member.
double rendezvousScore(std::uint64_t key, std::uint64_t member, double weight)
{
    if (weight <= 0) {
        return -std::numeric_limits<double>::infinity();
    }
    std::uint64_t mixed = key ^ (member * 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    mixed ^= mixed >> 31;
    const double uniform = (static_cast<double>(mixed >> 11) + 1.0) / 9007199254740993.0;
    return std::log(uniform) / weight;
}

} // namespace Portpaddle
