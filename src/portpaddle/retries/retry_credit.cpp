// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/retries/retry_credit.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr NameTable<RetryPayment, 3> paymentNames{ { "nobody", "credit", "debt" } };

// Tenths that are added up to one fall short of it by their last bits.
constexpr double wholeRepeat = 1 - 1e-9;

} // namespace

std::string_view nameOf(RetryPayment payment)
{
    return paymentNames[payment];
}

void RetryCredit::setOptions(const RetryBudgetOptions &terms, SteadyTime now)
{
    if (terms == options_) {
        return;
    }
    for (auto &[service, account] : accounts_) {
        refill(account, now);
    }
    options_ = terms;
    if (options_.fixedPart <= 0) {
        fixedSince_.reset();
    } else if (!fixedSince_) {
        fixedSince_ = now;
    }
    for (auto &[service, account] : accounts_) {
        limit(account, now);
    }
}

void RetryCredit::refill(Account &account, SteadyTime now) const
{
    const std::chrono::duration<double> passed = now - account.refilledAt;
    account.level += options_.refillShare * options_.fixedPart * (passed / options_.window);
    account.refilledAt = now;
}

/// What is under way takes room as if it were kept: a full link or a suspended daemon may hold it up for seconds, and it must not
/// arrive together with as much again.
void RetryCredit::limit(Account &account, SteadyTime now) const
{
    while (!account.firsts.empty() && account.firsts.front() < now - options_.window) {
        account.firsts.pop_front();
    }
    const double saved = options_.savedShare * options_.ratio * static_cast<double>(account.firsts.size());
    const double kept = saved + options_.keptShare * options_.fixedPart + options_.rounding;
    account.level = std::min(account.level, kept - account.underWay);
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
    limit(account, now);
    return account;
}

void RetryCredit::recordFirstAttempt(const std::string &service, SteadyTime now)
{
    Account &sent = accountAt(service, now);
    sent.firsts.push_back(now);
    sent.level += (1 - options_.savedShare) * options_.ratio;
    limit(sent, now);
}

double RetryCredit::left(const std::string &service, SteadyTime now)
{
    return accountAt(service, now).level;
}

bool RetryCredit::allowsRetry(const std::string &service, SteadyTime now)
{
    return left(service, now) >= wholeRepeat;
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
    Account &taken = accountAt(service, now);
    taken.level -= 1;
    ++taken.underWay;
}

void RetryCredit::recordRetryArrival(const std::string &service, SteadyTime now)
{
    --accountAt(service, now).underWay;
}

void RetryCredit::refundRetry(const std::string &service, SteadyTime now)
{
    Account &returned = accountAt(service, now);
    --returned.underWay;
    returned.level += 1;
}

} // namespace Portpaddle
