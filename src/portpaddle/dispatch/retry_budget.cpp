// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/retry_budget.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// Enough for a daemon with few requests to retry at all, and a limit on the retries that accumulate in a quiet hour.
constexpr double maxBudget = 50;

} // namespace

void RetryBudget::addCredit(double percent)
{
    const std::lock_guard lock(mutex_);
    available_ = std::min(maxBudget, available_ + percent / 100);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(mutex_);
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace Portpaddle
