// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The repeats that one daemon may make of a system-wide retry budget without asking anyone.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Portpaddle {

/// On whose account an attempt after the first of a request goes.
enum class RetryPayment {
    /// No upstream saw the request, or there was no such attempt.
    Nobody,
    /// What the daemon had earned.
    Credit,
    /// What it will earn: a run that went on elsewhere, whatever was left.
    Debt,
};
std::string_view nameOf(RetryPayment payment);

/// The budget of one daemon for each service.
struct RetryBudgetOptions
{
    /// Repeats allowed per first send.
    double ratio = 0.1;
    /// Repeats allowed besides in one window.
    double fixedPart = 0;
    /// Held besides from the start, from 0 to under 1. Drawn by chance, so that many daemons that earn parts of repeats make
    /// together as many whole ones as they earn.
    double rounding = 0;
    std::chrono::milliseconds window{ 10'000 };
    /// Of what first sends pay for, the part that is kept for a window, from 0 to 1; the rest may be spent at once.
    double savedShare = 0.5;
    /// Of the fixed part, what may be kept, and what comes back in one window; no more than 1 together.
    double keptShare = 0.5;
    double refillShare = 0.4;

    bool operator==(const RetryBudgetOptions &) const = default;
};

/// Holds the credit for repeats of each service. Belongs to one event loop.
///
/// Whatever dies, starts or takes over callers, the repeats that arrive in any window are no more than the budget: what all
/// daemons hold and have under way at its beginning is bounded by the requests of the window before, what they earn in it by its
/// own.
class RetryCredit
{
public:
    void setOptions(const RetryBudgetOptions &terms, SteadyTime now);
    void recordFirstAttempt(const std::string &service, SteadyTime now);
    /// How many repeats are left now; below zero where runs that went on elsewhere took more.
    double left(const std::string &service, SteadyTime now);
    /// Whether a repeat would be allowed now.
    bool allowsRetry(const std::string &service, SteadyTime now);
    /// Takes one repeat and tells what pays for it; takes none where nothing does.
    RetryPayment takeRetry(const std::string &service, SteadyTime now);
    /// Takes one that is made whatever is left.
    void forceRetry(const std::string &service, SteadyTime now);
    /// A repeat that was taken has reached its upstream by now, if it ever will.
    void recordRetryArrival(const std::string &service, SteadyTime now);
    /// A repeat that was taken was not sent.
    void refundRetry(const std::string &service, SteadyTime now);

private:
    struct Account
    {
        std::deque<SteadyTime> firsts;
        double level = 0;
        SteadyTime refilledAt{};
        /// Repeats that are paid for and may not have arrived.
        unsigned underWay = 0;
    };

    /// The account as of now.
    Account &accountAt(const std::string &service, SteadyTime now);
    void refill(Account &account, SteadyTime now) const;
    /// Drops what may not be kept.
    void limit(Account &account, SteadyTime now) const;

    RetryBudgetOptions options_;
    /// Since when there has been a fixed part.
    std::optional<SteadyTime> fixedSince_;
    std::unordered_map<std::string, Account> accounts_;
};

} // namespace Portpaddle
