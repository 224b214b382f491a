// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Lets the VM of this process be suspended: time passes by the calendar and by the clock since boot, while the clock that the
/// kernel schedules by stands still.
#pragma once

#include <chrono>

namespace Portpaddle {

/// As long as it lives the process has been suspended for @p time.
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
