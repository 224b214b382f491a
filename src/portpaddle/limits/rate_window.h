// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// How much is asked a second, over the shortest time that tells.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <array>
#include <cstdint>

namespace Portpaddle {

/// Ten slots of 100 ms. Few requests are averaged over a second, many over the last slots: sizes of requests differ by a factor
/// of ten, and a sudden rise must be seen before it has spent a limit's burst.
class RateWindow
{
public:
    void add(double units, double requests, SteadyTime now);
    /// Units a second, over as few slots as tell.
    double rate(SteadyTime now) const;
    /// Units a second, over the whole second.
    double slowRate(SteadyTime now) const;

private:
    struct Slot
    {
        std::int64_t number = -1;
        double units = 0;
        double requests = 0;
    };

    double rateOver(double requestsEnough, SteadyTime now) const;

    static constexpr std::size_t slotCount = 10;
    std::array<Slot, slotCount> slots_{};
};

} // namespace Portpaddle
