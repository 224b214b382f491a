// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/retries/retry_credit.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr NameTable<RetryPayment, 3> retryPaymentNames{ { "nobody", "credit", "debt" } };

// Ten additions of 0.1 give slightly less than 1 in floating point.
constexpr double wholeRetry = 1 - 1e-9;

} // namespace

std::string_view nameOf(RetryPayment payment)
{
    return retryPaymentNames[payment];
}

void RetryCredit::setOptions(const RetryBudgetOptions &options, SteadyTime now)
{
    if (options == options_) {
        return;
    }
    for (auto &[service, account] : accounts_) {
        refill(account, now);
    }
    options_ = options;
    if (options_.fixedPart <= 0) {
        fixedSince_.reset();
    } else if (!fixedSince_) {
        fixedSince_ = now;
    }
    for (auto &[service, account] : accounts_) {
        applyCap(account, now);
    }
}

void RetryCredit::refill(Account &account, SteadyTime now) const
{
    const std::chrono::duration<double> passed = now - account.refilledAt;
    account.level += options_.refillShare * options_.fixedPart * (passed / options_.window);
    account.refilledAt = now;
}

/// Counts retries in transit against the cap as if they were saved: a full link or a suspended daemon may delay them for seconds,
/// and an equal number of new retries must not arrive with them.
void RetryCredit::applyCap(Account &account, SteadyTime now) const
{
    while (!account.firstAttempts.empty() && account.firstAttempts.front() < now - options_.window) {
        account.firstAttempts.pop_front();
    }
    const double saved = options_.savedShare * options_.ratio * static_cast<double>(account.firstAttempts.size());
    const double maxLevel = saved + options_.keptShare * options_.fixedPart + options_.rounding;
    account.level = std::min(account.level, maxLevel - account.inTransit);
}

RetryCredit::Account &RetryCredit::accountAt(const std::string &service, SteadyTime now)
{
    const auto [entry, added] = accounts_.try_emplace(service);
    Account &account = entry->second;
    if (added) {
        account.level = options_.rounding;
        account.refilledAt = fixedSince_.value_or(now);
    }
    refill(account, now);
    applyCap(account, now);
    return account;
}

void RetryCredit::recordFirstAttempt(const std::string &service, SteadyTime now)
{
    Account &creditedAccount = accountAt(service, now);
    creditedAccount.firstAttempts.push_back(now);
    creditedAccount.level += (1 - options_.savedShare) * options_.ratio;
    applyCap(creditedAccount, now);
}

double RetryCredit::left(const std::string &service, SteadyTime now)
{
    return accountAt(service, now).level;
}

bool RetryCredit::allowsRetry(const std::string &service, SteadyTime now)
{
    return left(service, now) >= wholeRetry;
}

RetryPayment RetryCredit::takeRetry(const std::string &service, SteadyTime now)
{
    if (!allowsRetry(service, now)) {
        return RetryPayment::Nobody;
    }
    forceRetry(service, now);
    return RetryPayment::Credit;
}

void RetryCredit::forceRetry(const std::string &service, SteadyTime now)
{
    Account &debitedAccount = accountAt(service, now);
    debitedAccount.level -= 1;
    ++debitedAccount.inTransit;
}

void RetryCredit::recordRetryArrival(const std::string &service, SteadyTime now)
{
    --accountAt(service, now).inTransit;
}

void RetryCredit::refundRetry(const std::string &service, SteadyTime now)
{
    Account &refundedAccount = accountAt(service, now);
    --refundedAccount.inTransit;
    refundedAccount.level += 1;
}

} // namespace Portpaddle
