// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/boot_clock.h"

#include <ctime>

namespace Portpaddle {

// std::chrono::steady_clock reads CLOCK_MONOTONIC, which does not advance while a VM is suspended. After a pause of some seconds
// a daemon would take an expired lease for valid, believe that it had just heard from the other daemons, and give upstreams more
// time than callers have left.
BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Portpaddle
