// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Seeded random numbers that a test can make fail, as a way to throw an exception within a decision.
#pragma once

#include "portpaddle/base/system_clock.h"

#include <atomic>
#include <limits>
#include <stdexcept>

namespace Portpaddle {

class FallibleRandom : public RandomSource
{
public:
    explicit FallibleRandom(std::uint64_t seed) : numbers_(seed)
    {
    }

    /// Lets the number after the next @p count ones fail, once.
    void failAfter(unsigned count)
    {
        left_ = count;
    }

    std::uint64_t next() override
    {
        if (left_-- == 0) {
            throw std::runtime_error("no random number");
        }
        return numbers_.next();
    }

private:
    SeededRandom numbers_;
    std::atomic<unsigned> left_{ std::numeric_limits<unsigned>::max() };
};

} // namespace Portpaddle
