// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/boot_clock.h"

#include <ctime>

namespace Portpaddle {

// std::chrono::steady_clock reads CLOCK_MONOTONIC, which stands still while a VM is suspended: after a pause of seconds a daemon
// would hold its lease for valid, other daemons for just heard, and hand upstreams time that callers do not have any more.
BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Portpaddle
