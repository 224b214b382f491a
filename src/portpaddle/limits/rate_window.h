// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Measures a rate over the shortest time that gives a reliable average.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <array>
#include <cstdint>

namespace Portpaddle {

/// A sliding window of ten slots of 100 ms. Few requests are averaged over a second, many over the last slots only: the sizes of
/// requests differ by a factor of ten, and a sudden rise must be detected before it has spent the burst of a limit.
class RateWindow
{
public:
    /// Records @p requests requests of @p units in total.
    void add(double units, double requests, SteadyTime now);
    /// Returns the units a second over as few slots as give a reliable average.
    double rate(SteadyTime now) const;
    /// Returns the units a second over the whole window.
    double fullWindowRate(SteadyTime now) const;

private:
    struct Slot
    {
        std::int64_t number = -1;
        double units = 0;
        double requests = 0;
    };

    double rateOver(double minRequests, SteadyTime now) const;

    static constexpr std::size_t slotCount = 10;
    std::array<Slot, slotCount> slots_{};
};

} // namespace Portpaddle
