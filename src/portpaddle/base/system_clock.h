// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The system clock and a seeded random source.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/random_source.h"

#include <mutex>
#include <random>

namespace Portpaddle {

/// Reads the clocks of the operating system.
class SystemClock : public Clock
{
public:
    Millis monotonic() const override;
    Millis wall() const override;
};

/// Returns an unpredictable seed from the operating system.
std::uint64_t freshSeed();

/// A Mersenne Twister. Thread-safe.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

} // namespace Portpaddle
