// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Time as the system sees it.
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

/// A source of time; tests move it by hand.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Never goes back; unrelated to the calendar.
    virtual Millis monotonic() const = 0;
    /// Milliseconds since the epoch; may jump.
    virtual Millis wall() const = 0;
};

} // namespace Portpaddle
