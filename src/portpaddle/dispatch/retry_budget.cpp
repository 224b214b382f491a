// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/retry_budget.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// Lets a quiet daemon retry at all, and bounds what a quiet hour may save up.
constexpr double largestBudget = 50;

} // namespace

void RetryBudget::earn(double percent)
{
    const std::lock_guard lock(mutex_);
    available_ = std::min(largestBudget, available_ + percent / 100);
}

bool RetryBudget::spend()
{
    const std::lock_guard lock(mutex_);
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace Portpaddle
