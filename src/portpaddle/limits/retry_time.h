// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Computes when a request that a limit refused will be admitted: pure functions, which need no state of the request.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/limits/urgency_fractions.h"

#include <chrono>
#include <cstdint>

namespace Portpaddle {

/// Returns the number in [0, 1) that decides on a request at a time since the Unix epoch. It increases with time and begins anew
/// at zero, so that each request is admitted for a part of the time and every daemon can tell when.
double admissionChance(std::uint64_t requestHash, std::chrono::milliseconds wall);

/// A request that was refused.
struct RefusedAsk
{
    double chance = 0;
    /// Fraction of the demand of the request's class that is admitted in any case over the next seconds.
    double steadyFraction = 0;
    std::chrono::milliseconds timeLeft{ 0 };
};

/// Returns the Retry-After: a time at which the request will be admitted, no later than a third of its time left, or one beyond
/// its deadline if there is no such time. @p spread is a random number in [0, 1).
std::chrono::milliseconds retryTime(const RefusedAsk &ask, double spread);

/// The least fractions of the recent past, by class.
class SteadyFractions
{
public:
    /// Reduces them to @p fractions at once, and raises them slowly.
    void update(const ByLimitClass &fractions, SteadyTime now);
    /// Returns the fractions; zero for a class that fell so recently that it may go on falling.
    ByLimitClass values(SteadyTime now) const;

private:
    ByLimitClass values_{};
    std::array<SteadyTime, limitClassCount> fellAt_{};
    SteadyTime updatedAt_{};
};

} // namespace Portpaddle
