// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Randomness as the system sees it.
#pragma once

#include <cstdint>

namespace Portpaddle {

/// A source of random numbers; tests seed it.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// A uniformly distributed number.
    virtual std::uint64_t next() = 0;

    /// A uniformly distributed number in [0, bound); zero when @p bound is zero.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// A uniformly distributed number in [0, 1).
    double fraction()
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(next() >> 11) * scale;
    }
};

} // namespace Portpaddle
