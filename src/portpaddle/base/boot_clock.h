// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The clock for leases, ages, deadlines and other time limits.
#pragma once

#include <chrono>

namespace Portpaddle {

/// A monotonic clock that also advances while the VM is suspended. Meets the Clock requirements of the standard library.
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
