// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/rate_window.h"

#include <limits>

namespace Portpaddle {

namespace {

constexpr std::chrono::milliseconds slotLength{ 100 };
// The average over this many requests of mixed sizes is accurate to about 20%.
constexpr double reliableRequests = 30;

std::int64_t slotNumber(SteadyTime now)
{
    return now.time_since_epoch() / slotLength;
}

} // namespace

void RateWindow::add(double units, double requests, SteadyTime now)
{
    const std::int64_t number = slotNumber(now);
    Slot &slot = slots_.at(static_cast<std::size_t>(number) % slotCount);
    if (slot.number != number) {
        slot = { number, 0, 0 };
    }
    slot.units += units;
    slot.requests += requests;
}

double RateWindow::rate(SteadyTime now) const
{
    return rateOver(reliableRequests, now);
}

double RateWindow::fullWindowRate(SteadyTime now) const
{
    return rateOver(std::numeric_limits<double>::infinity(), now);
}

double RateWindow::rateOver(double minRequests, SteadyTime now) const
{
    const std::int64_t newest = slotNumber(now);
    double units = 0;
    double requests = 0;
    std::int64_t oldest = newest;
    for (std::size_t back = 0; back < slotCount; ++back) {
        oldest = newest - static_cast<std::int64_t>(back);
        const Slot &slot = slots_.at(static_cast<std::size_t>(oldest) % slotCount);
        if (slot.number == oldest) {
            units += slot.units;
            requests += slot.requests;
        }
        // The newest slot does not suffice alone, because it may have just begun.
        if (back > 0 && requests >= minRequests) {
            break;
        }
    }
    const auto covered = now.time_since_epoch() - oldest * slotLength;
    return units / inSeconds(covered);
}

} // namespace Portpaddle
