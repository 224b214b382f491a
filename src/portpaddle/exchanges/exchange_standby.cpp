// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A second attempt that is prepared while the upstream of the first one is silent. A sound upstream may fall silent for a while,
// so its run ends only once another upstream has the request; until then the run goes on as soon as its upstream is heard.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"
#include "portpaddle/net/spawn.h"

#include <utility>

namespace Portpaddle {

Exchange::Attempt::Attempt(Gateway &gateway, const CallerRequest &request, CallerWriter &writer, StreamProgress &progress)
    : sending(gateway.pool_, gateway.answerMemory_, gateway.names_, request, writer, progress)
{
}

Exchange::Standby::Standby(const Executor &executor) : startTimer(executor), takeOverTimer(executor)
{
}

Task<bool> Exchange::Standby::awaitStart()
{
    if (!hasStarted) {
        NetError ignored;
        startTimer.expires_at(SteadyTime::max());
        co_await startTimer.async_wait(awaitingInto(ignored));
    }
    co_return !failure;
}

void Exchange::watchSilence(const std::shared_ptr<SilenceWatch> &watch)
{
    silenceTimer_.expires_after(upstreamSilenceBound);
    silenceTimer_.async_wait([weak = weak_from_this(), watch](NetError error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (error || !self || watch->hasEnded) {
            return;
        }
        // An upstream that answers other requests does not hang: this request waits in its queue. While the caller does not read,
        // the upstream cannot be heard.
        const bool isPassingOn = self->current_ && self->current_->sending.isPassingOn();
        if (!isPassingOn && !self->gateway_.loads_.heardSince(watch->upstream, watch->since)) {
            self->beginStandby();
        }
        watch->since = BootClock::now();
        self->watchSilence(watch);
    });
}

void Exchange::beginStandby()
{
    const bool isMoved = move_.inProgress() || !memoryFrom_.empty() || continuation_;
    if (standby_ || !current_ || isMoved || interruption_ != Interruption::None || !mayReplaceCurrent()) {
        return;
    }
    // The payment for the attempt in progress, which was sent long ago, must not be taken for the next one's.
    noteRetryArrived();
    if (!canAttemptAgain() || !payForRetry()) {
        return;
    }
    Target target = gateway_.choose(request_, choiceContext(), BootClock::now());
    if (!target.upstream && !target.daemon) {
        refundRetry();
        return;
    }
    standby_ = std::make_shared<Standby>(gateway_.executor_);
    spawnTask(gateway_.executor_, "standby_attempt",
              [self = shared_from_this(), standby = standby_, target = std::move(target)]() mutable -> Task<void> {
                  co_await self->startStandby(std::move(standby), std::move(target));
              });
}

Task<void> Exchange::startStandby(std::shared_ptr<Standby> standby, Target target)
{
    std::optional<HeldPlace> place;
    const bool placed = co_await takePlace(target, place);
    if (!placed || standby_ != standby) {
        givePlaceBack(place, PlaceEnd::Unknown);
        if (standby_ == standby) {
            dropStandby();
        }
        co_return;
    }
    const std::shared_ptr<Attempt> attempt = makeAttempt(std::move(target), std::move(place));
    attempt->plan.besideAnother = true;
    standby->attempt = attempt;
    const std::function<void()> noteSent = std::exchange(attempt->callbacks.sending, {});
    attempt->callbacks.sending = [this, &noteSent, &standby] {
        noteSent();
        limitSharedRun(standby);
    };
    standby->failure = co_await startSending(*attempt);
    standby->hasStarted = true;
    standby->startTimer.cancel();
    standby->takeOverTimer.cancel();
    noteStandbyStarted(standby);
}

void Exchange::noteStandbyStarted(const std::shared_ptr<Standby> &standby)
{
    if (standby->attempt->isDropped) {
        endDropped(*standby->attempt, std::move(standby->failure));
        return;
    }
    if (standby->isAdopted || standby->replacesCurrent) {
        return;
    }
    if (!standby->failure) {
        replaceCurrent();
        return;
    }
    standby_.reset();
    settleRetry(*standby->attempt);
    noteAttemptEnd(*standby->attempt, *standby->failure);
    beginStandby();
}

void Exchange::limitSharedRun(const std::shared_ptr<Standby> &standby)
{
    standby->sentAt = BootClock::now();
    standby->takeOverTimer.expires_after(gateway_.options_.maxSharedRun);
    standby->takeOverTimer.async_wait([weak = weak_from_this(), standby](NetError error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (error || !self || self->standby_ != standby || standby->hasStarted) {
            return;
        }
        if (self->isCurrentLivelier(*standby)) {
            self->dropStandby();
        } else {
            self->replaceCurrent();
        }
    });
}

bool Exchange::isCurrentLivelier(const Standby &standby)
{
    const UpstreamLoads &loads = gateway_.loads_;
    if (current_ && loads.heardSince(current_->plan.peer, standby.sentAt)) {
        return true;
    }
    const std::optional<UpstreamRecord> &next = standby.attempt->target.upstream;
    const bool hasOtherRuns = next && loads.running(next->id) > 1;
    return hasOtherRuns && !loads.heardSince(next->id, standby.sentAt);
}

bool Exchange::mayReplaceCurrent()
{
    const bool isPassingOn = current_ && current_->sending.isPassingOn();
    return !isPassingOn && canContinue() && !isRequestQuarantined();
}

void Exchange::replaceCurrent()
{
    if (!mayReplaceCurrent()) {
        dropStandby();
    } else if (current_) {
        standby_->replacesCurrent = true;
        current_->sending.interrupt();
    }
}

bool Exchange::needsStandby(const AttemptReport &report)
{
    const bool failed = report.end == AttemptEnd::Broken || report.end == AttemptEnd::NotRun;
    return failed && standby_->attempt && !report.continuation && interruption_ == Interruption::None && mayReplaceCurrent();
}

void Exchange::dropStandby()
{
    const std::shared_ptr<Standby> standby = std::exchange(standby_, nullptr);
    if (!standby) {
        return;
    }
    gateway_.metrics_.count(Counter::StandbysDropped);
    standby->takeOverTimer.cancel();
    if (!standby->attempt) {
        refundRetry();
        return;
    }
    settleRetry(*standby->attempt);
    standby->attempt->isDropped = true;
    if (standby->hasStarted) {
        endDropped(*standby->attempt, std::move(standby->failure));
    } else {
        standby->attempt->sending.interrupt();
    }
}

// The upstream that was given up may be asked again if the other one ends after all.
void Exchange::endDropped(Attempt &attempt, std::optional<AttemptReport> failure)
{
    if (!failure) {
        attempt.sending.discard();
        failure = failedAttempt(AttemptEnd::Broken, ErrorCode::Cancelled, "the upstream that was asked before goes on");
    }
    std::erase(tried_, attempt.triedAs);
    noteAttemptEnd(attempt, *failure);
}

/// Counts the payment for @p attempt as used if its request was sent to an upstream.
void Exchange::settleRetry(const Attempt &attempt)
{
    if (attempt.ticket.upstream.empty()) {
        refundRetry();
    } else {
        noteRetryArrived();
    }
}

} // namespace Portpaddle
