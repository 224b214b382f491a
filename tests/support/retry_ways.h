// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Ways in which one daemon may count the repeats of a system-wide budget: the product's and those weighed against it.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <memory>
#include <string_view>

namespace Portpaddle {

enum class RetryWay {
    /// What requests pay for over a window behind the daemon, and an even part of the fixed number from the start of each
    /// process.
    EvenFromStart,
    /// The same, with a fixed part only once the daemon was listed for a window.
    SlidingWindow,
    /// What requests pay for lapses after a second, but for one whole repeat; fixed part as before.
    LapsingCredit,
    /// One bucket: requests fill it by the ratio, time by three tenths of the fixed part a window; it holds seven tenths of that
    /// part,
    /// one at least, and is empty at first.
    OneBucket,
    /// As the product does; see RetryCredit.
    SharedCredit,
    /// The same with a quarter of what requests pay for saved.
    SharedCreditQuarter,
    /// The same with three quarters saved.
    SharedCreditMost,
};
std::string_view nameOf(RetryWay way);

/// What a daemon knows of its part.
struct RetryPart
{
    double ratio = 0;
    /// Of the fixed number.
    double fixed = 0;
    /// Drawn at the start of the process.
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
    /// Takes a repeat where one is left.
    virtual bool takeRetry(SteadyTime now) = 0;
    virtual void recordRetryArrival(SteadyTime now) = 0;
};

std::unique_ptr<RetryAccount> makeRetryAccount(RetryWay way);

} // namespace Portpaddle
