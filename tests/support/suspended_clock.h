// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates a suspended VM: the real-time and boot-time clocks advance, while the monotonic clock, by which the kernel
/// schedules, stands still.
#pragma once

#include <chrono>

namespace Portpaddle {

/// Lets the process appear to have been suspended for @p time during the lifetime of the object.
class Suspension
{
public:
    explicit Suspension(std::chrono::nanoseconds time);
    ~Suspension();
    Suspension(const Suspension &) = delete;
    Suspension &operator=(const Suspension &) = delete;

private:
    std::chrono::nanoseconds time_;
};

} // namespace Portpaddle
