// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams of an exchange that are continued elsewhere, because their engine or a daemon on their path stops before their end.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"
#include "portpaddle/net/spawn.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Interval at which the list of daemons is checked for another one.
constexpr Millis daemonPollInterval{ 20 };
// Attempts to continue a run that was stopped, as long as each of them is refused.
constexpr unsigned maxContinuations = 4;
constexpr Millis continuationPause{ 30 };

} // namespace

bool Exchange::canHandOver() const
{
    return request_.relayed && request_.senderCanContinue;
}

bool Exchange::moveAway(const UpstreamRecord &source, MoveWay way, SteadyTime until)
{
    if (move_.begun() || standby_ || progress_.splitter.lastId().empty() || interruption_ != Interruption::None) {
        return false;
    }
    // Engines that refused the request at its beginning may have room by now.
    tried_ = { source.id };
    Gateway::ChoiceContext context = choiceContext();
    context.ownRegionOnly = true;
    Target target = gateway_.choose(request_, context, BootClock::now());
    if (!target.upstream) {
        move_.noteNoTarget(request_.id, source, target.placement.reason);
        return false;
    }
    move_.begin(request_.id, source, std::move(target));
    if (current_) {
        current_->isMoved = true;
    }
    spawnTask(gateway_.executor_, "run_move",
              [self = shared_from_this(), way, until = std::min(until, deadline_)]() -> Task<void> {
                  const SteadyTime started = BootClock::now();
                  const std::string from = self->move_.source().id;
                  co_await self->move_.run(*self->gateway_.orders_, way, until);
                  if (way == MoveWay::CopyFirst) {
                      const bool copied = self->move_.begun();
                      self->gateway_.copyEnded(from, copied ? std::optional(BootClock::now() - started) : std::nullopt);
                  }
              });
    return true;
}

Task<AttemptReport> Exchange::continueMovedRun(AttemptReport report, const Target &target)
{
    if (report.end == AttemptEnd::Complete && move_.begun()) {
        spawnTask(gateway_.executor_, "free_copy",
                  [self = shared_from_this()]() -> Task<void> { co_await self->move_.freeCopy(*self->gateway_.orders_); });
    }
    const bool broken = report.end == AttemptEnd::Broken && interruption_ == Interruption::None;
    if (broken && !report.continuation && move_.begun()) {
        co_return co_await continueOwnMove(std::move(report));
    }
    std::optional<Target> last = target;
    while (report.end == AttemptEnd::Broken && report.continuation && last->daemon && interruption_ == Interruption::None) {
        report = co_await continueThroughOther(std::move(report), last);
    }
    co_return report;
}

// The copy is asked first, then the source, which keeps the memory of the run that it stopped.
Task<AttemptReport> Exchange::continueOwnMove(AttemptReport report)
{
    const std::optional<MovedRun> moved = co_await move_.awaitEnd();
    isOwnStop_ = move_.stopOrdered();
    if (!moved || interruption_ != Interruption::None) {
        co_return report;
    }
    if (gateway_.stop() && canHandOver()) {
        co_await handOver(*moved);
        co_return report;
    }
    Target atSource = moved->target;
    atSource.upstream = moved->source;
    for (unsigned tries = 0; tries < maxContinuations && interruption_ == Interruption::None; ++tries) {
        const bool returns = tries % 2 == 1 && gateway_.mayReturnTo(moved->source, BootClock::now());
        payForContinuation(moved->memoryFrom);
        memoryFrom_ = moved->memoryFrom;
        report = co_await attempt(returns ? atSource : moved->target);
        if (report.end != AttemptEnd::NotRun) {
            co_return report;
        }
        co_await pause(continuationPause);
    }
    co_return report;
}

Task<AttemptReport> Exchange::continueThroughOther(AttemptReport report, std::optional<Target> &last)
{
    const Continuation continuation = *report.continuation;
    const DaemonRecord ending = *last->daemon;
    for (unsigned tries = 0; tries < maxContinuations && interruption_ == Interruption::None; ++tries) {
        std::optional<Target> next = co_await awaitOtherDaemon(ending);
        if (!next || interruption_ != Interruption::None) {
            report.continuation.reset();
            co_return report;
        }
        last = std::move(next);
        payForContinuation(continuation.memoryFrom);
        continuation_ = continuation;
        report = co_await attempt(*last);
        if (report.end != AttemptEnd::NotRun) {
            co_return report;
        }
        co_await pause(continuationPause);
    }
    co_return report;
}

void Exchange::payForContinuation(const std::string &memorySource)
{
    gateway_.metrics_.count(Counter::Resumes);
    log(LogEvent::RequestResumed, 0, "memory moved from " + memorySource);
    if (!retryUnderWay_) {
        payForMovedRun();
    }
}

Task<std::optional<Target>> Exchange::awaitOtherDaemon(const DaemonRecord &ending)
{
    const SteadyTime until = BootClock::now() + route_->firstEventTimeout() / 2;
    while (interruption_ == Interruption::None && BootClock::now() < until) {
        const DaemonRecord *daemon = gateway_.regions_.pickBeside(*gateway_.view_, ending, BootClock::now(), gateway_.random_);
        if (daemon != nullptr) {
            Target target;
            target.placement.verdict = Verdict::Forward;
            target.daemon = *daemon;
            co_return target;
        }
        co_await pause(daemonPollInterval);
    }
    co_return std::nullopt;
}

Target Exchange::continuationTarget()
{
    Target target;
    const auto upstream = gateway_.view_->upstreams.find(continuation_->upstream);
    const ServiceSpec *spec = gateway_.view_->services->service(service_);
    if (upstream == gateway_.view_->upstreams.end() || upstream->second.region != gateway_.identity_.region || spec == nullptr) {
        return target;
    }
    const bool sameVersion = !progress_.version || *progress_.version == versionKeyOf(upstream->second.version);
    if (sameVersion) {
        target.placement.verdict = Verdict::Serve;
        target.upstream = upstream->second;
        gateway_.upstreamLimits_.take(upstream->first, BootClock::now());
        target.spec = std::shared_ptr<const ServiceSpec>(gateway_.view_->services, spec);
        memoryFrom_ = continuation_->memoryFrom;
    }
    return target;
}

Task<void> Exchange::handOver(const MovedRun &moved)
{
    const Continuation continuation{ moved.target.upstream->id, moved.memoryFrom };
    const std::string value = encodeContinuation(continuation);
    handedOver_ = co_await writer_.endWithTrailer(continueAtHeader, value);
}

} // namespace Portpaddle
