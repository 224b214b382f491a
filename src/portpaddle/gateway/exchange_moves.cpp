// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams of an exchange that are continued elsewhere, because their engine or a daemon on their path stops before their end.

#include "portpaddle/base/metrics.h"
#include "portpaddle/gateway/exchange.h"
#include "portpaddle/net/spawn.h"

namespace Portpaddle {

namespace {

// Interval at which the list of daemons is checked for another one.
constexpr Millis daemonPollInterval{ 20 };

} // namespace

bool Exchange::canHandOver() const
{
    return request_.relayed && request_.senderCanContinue;
}

void Exchange::moveAway(const UpstreamRecord &source)
{
    if (move_.begun() || progress_.splitter.lastId().empty() || interruption_ != Interruption::None) {
        return;
    }
    move_.begin(request_.id, source, chooseTarget());
    spawnTask(gateway_.executor_, "run_move", [self = shared_from_this()]() -> Task<void> {
        co_await self->move_.run(*self->gateway_.orders_, self->timeLeft());
    });
}

Task<AttemptReport> Exchange::continueMovedRun(AttemptReport report, const Target &target)
{
    std::optional<Target> last = target;
    bool movedHere = false;
    while (report.end == AttemptEnd::Broken && interruption_ == Interruption::None) {
        std::optional<Target> next;
        std::string memorySource;
        if (report.continuation && last->daemon) {
            next = co_await awaitOtherDaemon(*last->daemon);
            memorySource = report.continuation->memoryFrom;
            continuation_ = report.continuation;
        } else if (move_.begun() && !movedHere) {
            movedHere = true;
            const std::optional<MovedRun> moved = co_await move_.awaitEnd();
            if (moved && gateway_.stop() && canHandOver()) {
                co_await handOver(*moved);
                break;
            }
            if (moved) {
                next = moved->target;
                memorySource = memoryFrom_ = moved->memoryFrom;
            }
        }
        if (!next || interruption_ != Interruption::None) {
            break;
        }
        gateway_.metrics_.count(Counter::Resumes);
        log(LogEvent::RequestResumed, 0, "memory moved from " + memorySource);
        payForMovedRun();
        report = co_await attempt(*next);
        last = next;
    }
    co_return report;
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
        NetError ignored;
        pollTimer_.expires_after(daemonPollInterval);
        co_await pollTimer_.async_wait(awaitingInto(ignored));
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
