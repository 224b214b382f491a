// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Further attempts of an exchange: whether one may follow, what pays for it, and how long a stream that has begun waits for it.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Interval at which a stream that has begun looks for an upstream that goes on with it.
constexpr Millis restPollInterval{ 50 };
// Sends beyond the attempts of the route, for a stream whose upstreams end one after the other.
constexpr unsigned maxSendsOfRest = 8;

/// Whether upstreams that are excluded for @p reason may go on with a stream soon. Only an order of the operator brings a version
/// back, and an upstream that leaves does not return.
bool mayReturn(ExclusionReason reason)
{
    return reason != ExclusionReason::VersionAbsent && reason != ExclusionReason::Leaving;
}

} // namespace

bool Exchange::canContinue() const
{
    // The caller of a continued run already has a part of the answer.
    if (request_.continuation) {
        return route_->resumable && progress_.version;
    }
    return !progress_.begun || (route_->resumable && progress_.version && !progress_.splitter.lastId().empty());
}

bool Exchange::holdsBegunStream() const
{
    return progress_.begun && !request_.relayed && canContinue();
}

// Upstreams that have ended do not count for a stream that has begun. Before its first event a request may be the cause of their
// end. An upstream that is asked again is not another one.
unsigned Exchange::attemptsUsed() const
{
    if (!progress_.begun || sends_ >= route_->attempts + maxSendsOfRest) {
        return sends_;
    }
    // Whoever goes on with a run that was stopped for this daemon's sake takes the place of the one that stopped it.
    if (isOwnStop_) {
        return 0;
    }
    const auto ended = std::count_if(askedUpstreams_.begin(), askedUpstreams_.end(),
                                     [this](const std::string &upstream) { return gateway_.hasEnded(upstream); });
    return sends_ - repeatedSends_ - static_cast<unsigned>(ended);
}

bool Exchange::awaitsNewsOfUpstream() const
{
    return std::any_of(askedUpstreams_.begin(), askedUpstreams_.end(),
                       [this](const std::string &upstream) { return gateway_.crashes_.isInDoubt(upstream); });
}

// An upstream that ended is replaced by another one.
bool Exchange::mayBeReplaced() const
{
    return awaitsNewsOfUpstream()
        || std::any_of(askedUpstreams_.begin(), askedUpstreams_.end(),
                       [this](const std::string &upstream) { return gateway_.hasEnded(upstream); });
}

bool Exchange::canAttemptAgain()
{
    if (!canContinue() || attemptsUsed() >= route_->attempts) {
        return false;
    }
    const SteadyTime now = BootClock::now();
    const Target next = gateway_.propose(request_, choiceContext(), now);
    return (next.upstream || next.daemon) && gateway_.retries_.allowsRetry(service_, now);
}

bool Exchange::mayRetry(const AttemptReport &report)
{
    RetryFacts facts;
    facts.ended
        = report.end == AttemptEnd::Complete || report.end == AttemptEnd::ReceiverGone || interruption_ != Interruption::None;
    facts.sent = report.sent;
    facts.mayHaveRun = mayHaveRun_;
    facts.mayRunTwice = route_->mayRunTwice();
    facts.relayed = request_.relayed;
    facts.reachedNoUpstream = report.relayedSends == 0U;
    facts.cannotContinue = !canContinue();
    facts.quarantined = isRequestQuarantined();
    facts.sends = attemptsUsed();
    facts.attempts = route_->attempts;
    const RetryDecision decision = decideRetry(facts);
    retryDenial_ = decision.denial;
    payment_ = RetryPayment::Nobody;
    if (retryDenial_ != RetryDenial::None) {
        return false;
    }
    if (!decision.needsBudget) {
        gateway_.metrics_.count(Counter::RepeatsUnseen);
        return true;
    }
    if (!payForRetry()) {
        retryDenial_ = RetryDenial::BudgetSpent;
    }
    return retryDenial_ == RetryDenial::None;
}

// The budget refills, and upstreams that ended stop counting as attempts; a stream that its caller has a part of waits for that.
Task<bool> Exchange::awaitRetry(const AttemptReport &report)
{
    bool retries = mayRetry(report);
    if (retryDenial_ == RetryDenial::BudgetSpent) {
        gateway_.metrics_.count(Counter::RepeatsDenied);
    }
    while (!retries && holdsBegunStream() && timeLeft() > minAttemptTime) {
        const bool awaitsEnd = retryDenial_ == RetryDenial::AttemptsUsed && awaitsNewsOfUpstream();
        if (retryDenial_ != RetryDenial::BudgetSpent && !awaitsEnd) {
            break;
        }
        co_await pause(restPollInterval);
        retries = mayRetry(report);
    }
    co_return retries;
}

// Upstreams and regions that refused the request may have room by now; those that broke the stream off are not asked again.
Task<bool> Exchange::waitForRest(ExclusionReason reason)
{
    const std::size_t refused = std::erase_if(tried_, [this](const std::string &id) { return refusedBy_.contains(id); });
    const bool returns = reason == ExclusionReason::AlreadyTried ? mayBeReplaced() : mayReturn(reason);
    if (refused == 0 && !returns) {
        co_return false;
    }
    co_await pause(restPollInterval);
    co_return interruption_ == Interruption::None;
}

Task<void> Exchange::pause(Millis time)
{
    NetError ignored;
    pollTimer_.expires_after(time);
    co_await pollTimer_.async_wait(awaitingInto(ignored));
}

bool Exchange::payForRetry()
{
    if (isOwnStop_) {
        payForMovedRun();
        return true;
    }
    payment_ = gateway_.retries_.takeRetry(service_, BootClock::now());
    if (payment_ == RetryPayment::Nobody) {
        return false;
    }
    gateway_.metrics_.count(Counter::RepeatsPaid);
    beginRetry();
    return true;
}

// The upstream receives one more request. Without this attempt the caller's stream would end here, so the attempt is made even
// if no budget is left, which leaves less for other retries.
void Exchange::payForMovedRun()
{
    gateway_.retries_.forceRetry(service_, BootClock::now());
    gateway_.metrics_.count(Counter::RepeatsMoved);
    payment_ = RetryPayment::Debt;
    beginRetry();
}

void Exchange::beginRetry()
{
    retryUnderWay_ = service_;
    retryTakenAt_ = BootClock::now();
}

void Exchange::noteRetryArrived()
{
    if (retryUnderWay_) {
        const SteadyTime now = BootClock::now();
        gateway_.retries_.recordRetryArrival(*retryUnderWay_, now);
        gateway_.metrics_.observe(Timer::RepeatArrival, std::chrono::duration<double, std::milli>(now - retryTakenAt_).count());
        retryUnderWay_.reset();
    }
}

void Exchange::refundRetry()
{
    if (retryUnderWay_) {
        gateway_.retries_.refundRetry(*retryUnderWay_, BootClock::now());
        retryUnderWay_.reset();
    }
}

} // namespace Portpaddle
