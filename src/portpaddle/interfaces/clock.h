// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The interface to the system's clocks.
#pragma once

#include "portpaddle/base/boot_clock.h"

#include <chrono>

namespace Portpaddle {

using Millis = std::chrono::milliseconds;
using SteadyTime = BootClock::time_point;

inline double inSeconds(SteadyTime::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// A source of time, which tests replace by a manual clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Returns a time that never goes back and is unrelated to the calendar.
    virtual Millis monotonic() const = 0;
    /// Returns the milliseconds since the Unix epoch; may jump in both directions.
    virtual Millis wall() const = 0;
};

} // namespace Portpaddle
