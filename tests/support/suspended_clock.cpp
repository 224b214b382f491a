// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/suspended_clock.h"

#include <atomic>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> suspendedFor{ 0 };
constexpr std::int64_t nanosInSecond = 1'000'000'000;

} // namespace

// Replaces the function of the C library for this program and the libraries that it loads.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long status = syscall(SYS_clock_gettime, clock, time);
    if (status == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)) {
        const std::int64_t nanos = time->tv_nsec + suspendedFor.load();
        time->tv_sec += nanos / nanosInSecond;
        time->tv_nsec = nanos % nanosInSecond;
    }
    return static_cast<int>(status);
}

namespace Portpaddle {

Suspension::Suspension(std::chrono::nanoseconds time) : time_(time)
{
    suspendedFor += time_.count();
}

Suspension::~Suspension()
{
    suspendedFor -= time_.count();
}

} // namespace Portpaddle
