// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/retry_ways.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/retries/retry_credit.h"

#include <algorithm>
#include <deque>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<RetryWay, 7> wayNames{ { "even_from_start", "sliding_window", "lapsing_credit", "one_bucket", "shared_credit",
                                             "shared_credit_quarter", "shared_credit_most" } };

void dropBefore(std::deque<SteadyTime> &times, SteadyTime oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

/// Counts earned and spent retries over a sliding window.
class WindowAccount : public RetryAccount
{
public:
    void setPart(const RetryPart &part, SteadyTime) override
    {
        part_ = part;
    }

    void recordFirstAttempt(SteadyTime now) override
    {
        firsts_.push_back(now);
    }

    bool takeRetry(SteadyTime now) override
    {
        dropBefore(firsts_, now - part_.window);
        dropBefore(arrivals_, now - part_.window);
        const double spent = static_cast<double>(arrivals_.size() + underWay_ + 1);
        const double rounding = part_.fixed > 0 ? 0 : part_.rounding;
        const bool taken = spent <= part_.ratio * static_cast<double>(firsts_.size()) + part_.fixed + rounding;
        underWay_ += taken ? 1 : 0;
        return taken;
    }

    void recordRetryArrival(SteadyTime now) override
    {
        --underWay_;
        arrivals_.push_back(now);
    }

private:
    RetryPart part_;
    std::deque<SteadyTime> firsts_;
    std::deque<SteadyTime> arrivals_;
    unsigned underWay_ = 0;
};

/// Keeps credit earned by requests for a second, and counts the fixed part over a window.
class LapsingAccount : public RetryAccount
{
public:
    void setPart(const RetryPart &part, SteadyTime) override
    {
        part_ = part;
    }

    void recordFirstAttempt(SteadyTime now) override
    {
        earned_.push_back(now);
        level_ += part_.ratio;
        forgetLapsed(now);
    }

    bool takeRetry(SteadyTime now) override
    {
        forgetLapsed(now);
        if (level_ >= 1) {
            level_ -= 1;
            return true;
        }
        dropBefore(fixed_, now - part_.window);
        const bool taken = static_cast<double>(fixed_.size() + 1) <= part_.fixed;
        if (taken) {
            fixed_.push_back(now);
        }
        return taken;
    }

    void recordRetryArrival(SteadyTime) override
    {
    }

private:
    static constexpr auto lapse = 1s;

    void forgetLapsed(SteadyTime now)
    {
        dropBefore(earned_, now - lapse);
        level_ = std::min(level_, std::max(1.0, part_.ratio * static_cast<double>(earned_.size())));
    }

    RetryPart part_;
    std::deque<SteadyTime> earned_;
    std::deque<SteadyTime> fixed_;
    double level_ = 0;
};

class BucketAccount : public RetryAccount
{
public:
    void setPart(const RetryPart &part, SteadyTime now) override
    {
        refill(now);
        part_ = part;
    }

    void recordFirstAttempt(SteadyTime now) override
    {
        refill(now);
        level_ = std::min(level_ + part_.ratio, depth());
    }

    bool takeRetry(SteadyTime now) override
    {
        refill(now);
        const bool taken = level_ >= 1;
        level_ -= taken ? 1 : 0;
        return taken;
    }

    void recordRetryArrival(SteadyTime) override
    {
    }

private:
    static constexpr double depthShare = 0.7;
    static constexpr double refillShare = 0.3;

    double depth() const
    {
        return std::max(1.0, depthShare * part_.fixed);
    }

    void refill(SteadyTime now)
    {
        if (filledAt_ != SteadyTime{} && part_.window > 0ms) {
            const std::chrono::duration<double> passed = now - filledAt_;
            level_ = std::min(level_ + refillShare * part_.fixed * (passed / part_.window), depth());
        }
        filledAt_ = now;
    }

    RetryPart part_;
    double level_ = 0;
    SteadyTime filledAt_{};
};

/// Uses the product's RetryCredit.
class CreditAccount : public RetryAccount
{
public:
    explicit CreditAccount(double savedShare) : savedShare_(savedShare)
    {
    }

    void setPart(const RetryPart &part, SteadyTime now) override
    {
        RetryBudgetOptions terms;
        terms.ratio = part.ratio;
        terms.fixedPart = part.fixed;
        terms.rounding = part.rounding;
        terms.window = part.window;
        terms.savedShare = savedShare_;
        credit_.setOptions(terms, now);
    }

    void recordFirstAttempt(SteadyTime now) override
    {
        credit_.recordFirstAttempt(service, now);
    }

    bool takeRetry(SteadyTime now) override
    {
        return credit_.takeRetry(service, now) != RetryPayment::Nobody;
    }

    void recordRetryArrival(SteadyTime now) override
    {
        credit_.recordRetryArrival(service, now);
    }

private:
    inline static const std::string service = "s";

    double savedShare_;
    RetryCredit credit_;
};

} // namespace

std::string_view nameOf(RetryWay way)
{
    return wayNames[way];
}

std::unique_ptr<RetryAccount> makeRetryAccount(RetryWay way)
{
    constexpr double quarter = 0.25;
    constexpr double most = 0.75;
    switch (way) {
    case RetryWay::EvenFromStart:
    case RetryWay::SlidingWindow:
        return std::make_unique<WindowAccount>();
    case RetryWay::LapsingCredit:
        return std::make_unique<LapsingAccount>();
    case RetryWay::OneBucket:
        return std::make_unique<BucketAccount>();
    case RetryWay::SharedCredit:
        return std::make_unique<CreditAccount>(RetryBudgetOptions{}.savedShare);
    case RetryWay::SharedCreditQuarter:
        return std::make_unique<CreditAccount>(quarter);
    case RetryWay::SharedCreditMost:
        return std::make_unique<CreditAccount>(most);
    }
    return nullptr;
}

} // namespace Portpaddle
