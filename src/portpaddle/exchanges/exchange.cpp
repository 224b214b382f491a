// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"

#include "portpaddle/base/metrics.h"
#include "portpaddle/net/elapsed.h"
#include "portpaddle/net/http_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// An upstream stops work at the deadline that it was sent; its own answer to that may still arrive within this time.
constexpr Millis deadlineGrace{ 60 };
constexpr Millis capacityPollInterval{ 20 };
// Share of the target latency that a request may wait for capacity. A refusal within a quarter of the target latency still
// leaves the caller time for another try.
constexpr double capacityWaitShare = 0.2;
constexpr Millis maxCapacityWait{ 300 };
// Callers honour a Retry-After of at most a third of their time. After a shorter wait than the minimum nothing has changed.
constexpr Millis minRetryAfter{ 100 };
constexpr Millis maxRetryAfter{ 2'000 };
// Asking for a place takes a round trip within the region. After so many that were denied the upstreams are taken to be full.
constexpr unsigned maxDeniedPlaces = 4;
// Maximum time that is believed of another daemon.
constexpr Millis maxRelayedTime{ 600'000 };
// Maximum where the time at which an upstream accepts requests again is known.
constexpr Millis maxKnownRetryAfter{ 60'000 };

} // namespace

Exchange::Exchange(Gateway &gateway, CallerRequest request, CallerWriter &writer)
    : gateway_(gateway)
    , request_(std::move(request))
    , writer_(writer)
    , deadlineTimer_(gateway.executor_)
    , pollTimer_(gateway.executor_)
    , silenceTimer_(gateway.executor_)
    , move_(gateway.executor_, gateway.pool_,
            [&gateway](const UpstreamRecord &asked, const boost::beast::http::response_header<> &head) {
                gateway.noteOrderAnswer(asked, head);
            })
    , continuation_(request_.continuation)
    , ranAt_(request_.ranAt)
    , sends_(request_.earlierSends)
    , versionChance_(gateway.random_.fraction())
    , eventsSeen_(request_.eventsSeen)
{
    progress_.version = request_.streamVersion;
}

void Exchange::callerLeft()
{
    interrupt(Interruption::CallerLeft);
}

void Exchange::interrupt(Interruption reason)
{
    if (interruption_ == Interruption::None) {
        interruption_ = reason;
    }
    pollTimer_.cancel();
    move_.cancelWait();
    dropStandby();
    if (current_) {
        current_->sending.interrupt();
    }
}

Millis Exchange::timeLeft() const
{
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(deadline_ - BootClock::now()));
}

Millis Exchange::suggestedRetryAfter() const
{
    return std::clamp(timeLeft() / 4, minRetryAfter, maxRetryAfter);
}

void Exchange::startDeadline()
{
    deadline_ = request_.arrivedAt + route_->timeout;
    // The daemon that the caller is connected to has bounded the time by its own configuration, which may be another version.
    if (request_.timeLeft && request_.relayed) {
        deadline_ = request_.receivedAt + std::min(*request_.timeLeft, maxRelayedTime);
    } else if (request_.timeLeft) {
        deadline_ = std::min(deadline_, request_.receivedAt + *request_.timeLeft);
    }
    deadlineTimer_.expires_at(deadline_ + deadlineGrace);
    deadlineTimer_.async_wait([weak = weak_from_this()](NetError error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (!error && self) {
            self->interrupt(Interruption::Deadline);
        }
    });
}

Task<void> Exchange::run()
{
    gateway_.metrics_.count(request_.relayed ? Counter::ReceivedFromPeers : Counter::Requests);
    const bool found = co_await findRoute();
    if (!found) {
        co_return;
    }
    const bool passes = co_await passesQuarantine();
    if (!passes) {
        co_return;
    }
    startDeadline();
    if (!fitsStopDeadline()) {
        deadlineTimer_.cancel();
        const Error error = stoppingError();
        co_await refuse(error.code, error.message, suggestedRetryAfter());
        co_return;
    }
    const bool versionKnown = co_await findStreamVersion();
    if (!versionKnown) {
        deadlineTimer_.cancel();
        co_return;
    }
    const bool admitted = co_await admitByLimit();
    if (!admitted) {
        deadlineTimer_.cancel();
        co_return;
    }
    co_await runAttempts();
    deadlineTimer_.cancel();
    gateway_.metrics_.observe(Timer::WholeRequest, static_cast<double>(elapsedSince(request_.arrivedAt).count()));
}

bool Exchange::fitsStopDeadline()
{
    const std::optional<StopDeadlines> &stop = gateway_.stop();
    // A continued run can be handed over again.
    if (!stop || request_.continuation || continuation_) {
        return true;
    }
    const SteadyTime now = BootClock::now();
    const bool mustSurelyEnd = !route_->mayRunTwice() && route_->kind != RouteKind::Stream;
    const StopVerdict verdict = decideWhileStopping(*stop, { deadline_, request_.relayed, mustSurelyEnd }, now);
    latestPredictedEnd_ = verdict == StopVerdict::AcceptIfLikely ? latestPredictedEnd(*stop, now) : SteadyTime::max();
    return verdict != StopVerdict::Refuse;
}

// The stop may have begun, or have gone on, since the request was accepted.
bool Exchange::isTooLateToRun()
{
    return !mayHaveRun_ && !progress_.begun && !fitsStopDeadline();
}

bool Exchange::isTooLateToSend(const AttemptPlan &plan)
{
    return !plan.besideAnother && isTooLateToRun();
}

Error Exchange::stoppingError() const
{
    return Error{ ErrorCode::Stopping, "this daemon stops before the request can complete", RunState::NotRun,
                  suggestedRetryAfter() };
}

Task<void> Exchange::runAttempts()
{
    const SteadyTime started = BootClock::now();
    if (!request_.relayed) {
        gateway_.retries_.recordFirstAttempt(service_, started);
    }
    AttemptReport report;
    bool attempted = false;
    unsigned denials = 0;
    while (interruption_ == Interruption::None && timeLeft() > minAttemptTime) {
        if (isTooLateToRun()) {
            report = AttemptReport{};
            report.end = AttemptEnd::NotRun;
            report.error = stoppingError();
            break;
        }
        const Target target = chooseTarget();
        const bool found = target.placement.verdict == Verdict::Serve || target.placement.verdict == Verdict::Forward;
        const bool placed = found ? co_await takePlace(target, place_) : false;
        if (found && !placed && ++denials < maxDeniedPlaces) {
            continue;
        }
        if (!placed) {
            const ExclusionReason reason = found ? ExclusionReason::Full : target.placement.reason;
            const bool again = co_await waitForTarget(reason);
            const bool passes = again ? co_await passesQuarantine() : true;
            if (!passes) {
                co_return;
            }
            if (again) {
                denials = 0;
                continue;
            }
            if (!attempted) {
                report.end = AttemptEnd::NotRun;
                report.error = noTargetError(reason);
            }
            break;
        }
        report = co_await attempt(target);
        attempted = true;
        report = co_await continueMovedRun(std::move(report), lastTarget_);
        const bool retries = handedOver_ ? false : co_await awaitRetry(report);
        if (!retries) {
            break;
        }
        gateway_.metrics_.count(progress_.begun ? Counter::Resumes : Counter::Retries);
        log(progress_.begun ? LogEvent::RequestResumed : LogEvent::RequestRetried, 0, report.error.message);
        const bool routed = progress_.begun ? true : co_await findRouteAgain();
        if (!routed) {
            refundRetry();
            co_return;
        }
    }
    refundRetry();
    co_await finish(std::move(report));
}

Error Exchange::noTargetError(ExclusionReason reason)
{
    const bool stopping = reason == ExclusionReason::TooLate && latestPredictedEnd_ != SteadyTime::max();
    if (stopping) {
        return Error{ ErrorCode::Stopping, "this daemon stops before the predicted end of the request", RunState::NotRun,
                      suggestedRetryAfter() };
    }
    Error error{ ErrorCode::NoUpstream, fmt::format("no target can take the request: {}", nameOf(reason)), RunState::NotRun, {} };
    if (reason == ExclusionReason::TooLate && placement_.predictedMs > 0) {
        const double delayMs = returnDelayMs(placement_.predictedMs, gateway_.random_.fraction());
        error.retryAfter
            = Millis(std::llround(std::clamp(delayMs, double(minRetryAfter.count()), double(maxKnownRetryAfter.count()))));
    } else if (reason == ExclusionReason::UpstreamLimit) {
        gateway_.metrics_.count(Counter::HeldBackByLimit);
        error.retryAfter = std::min(retryAfterBackoff(), maxRetryAfter);
    } else if (reason == ExclusionReason::BackingOff) {
        error.retryAfter = retryAfterBackoff();
    }
    return error;
}

Millis Exchange::retryAfterBackoff()
{
    const auto back = std::chrono::duration_cast<Millis>(gateway_.suggestedRetryDelay(service_, BootClock::now()));
    return std::clamp(back, minRetryAfter, maxKnownRetryAfter);
}

Target Exchange::chooseTarget()
{
    if (request_.relayed && continuation_) {
        Target target = continuationTarget();
        continuation_.reset();
        return target;
    }
    Target target = gateway_.choose(request_, choiceContext(), BootClock::now());
    placement_ = target.placement;
    return target;
}

Millis Exchange::capacityWaitLeft() const
{
    const Millis bound = std::min(maxCapacityWait, std::chrono::duration_cast<Millis>(route_->targetLatency * capacityWaitShare));
    return bound - elapsedSince(request_.arrivedAt);
}

Task<bool> Exchange::waitForTarget(ExclusionReason reason)
{
    if (holdsBegunStream()) {
        co_return co_await waitForRest(reason);
    }
    if (!mayWaitForCapacity(reason)) {
        co_return false;
    }
    co_return co_await waitForCapacity();
}

// Upstreams that name limits or ask for time also say when they have capacity again, and upstreams that are leaving will have
// none. A request that would not be served in time is therefore refused at once.
bool Exchange::mayWaitForCapacity(ExclusionReason reason) const
{
    if (progress_.begun || mayHaveRun_ || sends_ > 0 || request_.relayed) {
        return false;
    }
    // Only an order of the operator brings a version back.
    if (reason == ExclusionReason::VersionAbsent && progress_.version) {
        return false;
    }
    if (reason == ExclusionReason::TooLate || reason == ExclusionReason::Leaving || reason == ExclusionReason::Unreachable) {
        return false;
    }
    if (reason != ExclusionReason::UpstreamLimit && reason != ExclusionReason::BackingOff) {
        return true;
    }
    const std::optional<SteadyTime::duration> room = gateway_.timeUntilRoom(service_, BootClock::now());
    return room && *room <= capacityWaitLeft();
}

Task<bool> Exchange::waitForCapacity()
{
    if (capacityWaitLeft() < capacityPollInterval) {
        co_return false;
    }
    tried_.clear();
    NetError ignored;
    std::size_t &waiting = gateway_.waitingRequests_[service_];
    ++waiting;
    pollTimer_.expires_after(capacityPollInterval);
    co_await pollTimer_.async_wait(awaitingInto(ignored));
    --waiting;
    co_return interruption_ == Interruption::None;
}

} // namespace Portpaddle
