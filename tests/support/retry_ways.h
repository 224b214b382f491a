// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Ways in which one daemon may count retries against a system-wide budget: the product's and the alternatives.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <memory>
#include <string_view>

namespace Portpaddle {

enum class RetryWay {
    /// Credit earned by requests over a sliding window, and an even part of the fixed number from the start of each process.
    EvenFromStart,
    /// As EvenFromStart, but the fixed part counts only once the daemon was listed for a window.
    SlidingWindow,
    /// Credit earned by requests expires after a second, except for one whole retry; fixed part as in SlidingWindow.
    LapsingCredit,
    /// One token bucket: requests fill it by the ratio, time by three tenths of the fixed part per window. Its capacity is seven
    /// tenths of that part and at least one; initially it is empty.
    OneBucket,
    /// As the product does; see RetryCredit.
    SharedCredit,
    /// As SharedCredit, with a quarter of the credit earned by requests saved.
    SharedCreditQuarter,
    /// As SharedCredit, with three quarters saved.
    SharedCreditMost,
};
std::string_view nameOf(RetryWay way);

/// The part of the budget that a daemon may spend, as far as the daemon knows.
struct RetryPart
{
    double ratio = 0;
    /// Part of the fixed number.
    double fixed = 0;
    /// Random offset for rounding, drawn at the start of the process.
    double rounding = 0;
    std::chrono::milliseconds window{ 0 };
};

/// The budget of one process for one service.
class RetryAccount
{
public:
    virtual ~RetryAccount() = default;

    virtual void setPart(const RetryPart &part, SteadyTime now) = 0;
    virtual void recordFirstAttempt(SteadyTime now) = 0;
    /// Takes one retry from the budget; returns false where none is left.
    virtual bool takeRetry(SteadyTime now) = 0;
    virtual void recordRetryArrival(SteadyTime now) = 0;
};

std::unique_ptr<RetryAccount> makeRetryAccount(RetryWay way);

} // namespace Portpaddle
