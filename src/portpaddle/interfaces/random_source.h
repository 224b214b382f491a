// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The interface to random numbers.
#pragma once

#include <cstdint>

namespace Portpaddle {

/// A source of random numbers, which tests seed.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// Returns a uniformly distributed number.
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, bound), uniform up to the bias of the modulo operation; zero when @p bound is zero.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// Returns a uniformly distributed number in [0, 1).
    double fraction()
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(next() >> 11) * scale;
    }
};

} // namespace Portpaddle
