// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The part of a system-wide retry budget that one daemon may spend without asking other daemons.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Portpaddle {

/// Which account pays for an attempt after the first of a request.
enum class RetryPayment {
    /// No upstream saw the request, or there was no such attempt.
    Nobody,
    /// The retry was paid from credit that the daemon had earned.
    Credit,
    /// The retry was charged to credit that the daemon will earn: a run that moved to another upstream, whatever was left.
    Debt,
};
std::string_view nameOf(RetryPayment payment);

/// The budget of one daemon for each service.
struct RetryBudgetOptions
{
    /// Retries allowed per first attempt.
    double ratio = 0.1;
    /// Retries allowed in one window in addition to the ratio.
    double fixedPart = 0;
    /// Additional credit from the start, in [0, 1). Each daemon draws it at random, so that many daemons that earn fractions of
    /// retries make as many whole retries together as they earn.
    double rounding = 0;
    std::chrono::milliseconds window{ 10'000 };
    /// Fraction, from 0 to 1, of the credit from first attempts that is saved for a window; the rest may be spent at once.
    double savedShare = 0.5;
    /// Fraction of the fixed part that may be saved.
    double keptShare = 0.5;
    /// Fraction of the fixed part that is refilled in one window; the sum of both is at most 1.
    double refillShare = 0.4;

    bool operator==(const RetryBudgetOptions &) const = default;
};

/// Keeps the retry credit of each service. Belongs to one event loop.
///
/// The retries that arrive in any window stay within the budget, whichever daemons stop, start or take over callers: the credit
/// that all daemons have saved or in transit at the start of a window is bounded by the requests of the previous window, and the
/// credit that they earn during the window by the requests of that window.
class RetryCredit
{
public:
    void setOptions(const RetryBudgetOptions &options, SteadyTime now);
    void recordFirstAttempt(const std::string &service, SteadyTime now);
    /// Returns how many retries are left now; negative if runs that moved to other upstreams took more.
    double left(const std::string &service, SteadyTime now);
    /// Returns whether a retry would be allowed now.
    bool allowsRetry(const std::string &service, SteadyTime now);
    /// Takes credit for one retry and returns what pays for it; takes nothing if the credit does not suffice.
    RetryPayment takeRetry(const std::string &service, SteadyTime now);
    /// Takes credit for a retry that is made whatever is left.
    void forceRetry(const std::string &service, SteadyTime now);
    /// Records that a paid retry has reached its upstream by now, if it ever will.
    void recordRetryArrival(const std::string &service, SteadyTime now);
    /// Gives back the credit of a paid retry that was not sent.
    void refundRetry(const std::string &service, SteadyTime now);

private:
    struct Account
    {
        std::deque<SteadyTime> firstAttempts;
        double level = 0;
        SteadyTime refilledAt{};
        /// Retries that are paid for and may not have arrived.
        unsigned inTransit = 0;
    };

    /// Returns the account of @p service, refilled and capped as of @p now.
    Account &accountAt(const std::string &service, SteadyTime now);
    void refill(Account &account, SteadyTime now) const;
    /// Drops the credit above what may be saved.
    void applyCap(Account &account, SteadyTime now) const;

    RetryBudgetOptions options_;
    /// The time from which the fixed part has been above zero.
    std::optional<SteadyTime> fixedSince_;
    std::unordered_map<std::string, Account> accounts_;
};

} // namespace Portpaddle
