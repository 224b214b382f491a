// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The clock by which leases, ages, deadlines and bounds are counted.
#pragma once

#include <chrono>

namespace Portpaddle {

/// Never goes back, and counts the time for which the VM was suspended. Meets the standard's requirements of a clock.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace Portpaddle
