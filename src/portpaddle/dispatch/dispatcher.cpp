// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/dispatcher.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/claims/claim_store.h"
#include "portpaddle/dispatch/observed_sink.h"
#include "portpaddle/interfaces/clock.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

/// A waiting request is decided again after this time even if it was not woken, because reports may have changed.
constexpr Millis maxWaitInterval{ 50 };

} // namespace

/// The execution of one call, from the claim to its outcome.
class Dispatcher::Execution
{
public:
    Execution(Dispatcher &dispatcher, Call call, AnswerSink &sink)
        : dispatcher_(dispatcher)
        , parts_(dispatcher.parts_)
        , call_(std::move(call))
        , sink_(sink, call_, parts_.clock, [this] { firstByte(); })
    {
        trace_.requestId = call_.facts.requestId;
        trace_.organisation = call_.facts.organisation;
        trace_.service = call_.facts.service;
        trace_.promptTokens = call_.facts.promptTokens;
        trace_.visited = call_.facts.visited;
    }

    Status execute()
    {
        Status status = claim();
        if (isOk(status)) {
            status = runAttempts();
            resolveClaim(status);
        }
        recordOutcome(status);
        return status;
    }

private:
    /// Returns the current policy; the pointer keeps the settings alive that the policy is part of.
    std::shared_ptr<const RequestPolicy> policyNow() const
    {
        std::shared_ptr<const CompiledSettings> settings = parts_.board.settings.read();
        const RequestPolicy &policy = settings->policy(call_.facts.organisation, call_.facts.service);
        return { std::move(settings), &policy };
    }

    Status claim()
    {
        const bool needed = call_.atMostOnce && !call_.claimed && !call_.idempotencyKey.empty();
        if (!needed) {
            return success();
        }
        Result<Claim> acquired = parts_.claims.acquire(call_.facts.organisation, call_.facts.service, call_.idempotencyKey);
        if (!isOk(acquired)) {
            parts_.metrics.count(Counter::ClaimsRefused);
            return errorOf(acquired);
        }
        parts_.metrics.count(Counter::ClaimsGranted);
        claim_ = std::move(valueOf(acquired));
        call_.claimed = true;
        return success();
    }

    void resolveClaim(const Status &status)
    {
        if (!claim_) {
            return;
        }
        if (isOk(status)) {
            parts_.claims.markRan(*claim_);
        } else if (errorOf(status).run == RunState::NotRun) {
            parts_.claims.release(*claim_);
        }
    }

    Status runAttempts()
    {
        while (true) {
            const Millis now = parts_.clock.monotonic();
            if (sink_.receiverGone()) {
                return failure(ErrorCode::Cancelled, "the caller went away");
            }
            if (now >= call_.facts.deadline) {
                return failure(ErrorCode::DeadlineExceeded, "the deadline passed");
            }
            if (claim_ && now >= claim_->sendBefore) {
                return failure(ErrorCode::ClaimUnavailable, "the claim expired before the call could be sent");
            }
            Decision decision = decideNow(now);
            const Verdict verdict = decision.verdict;
            if (verdict == Verdict::Wait) {
                if (!waitForCapacity(now)) {
                    return failure(ErrorCode::Overloaded, "the wait queue is full", Millis{ 1000 });
                }
                continue;
            }
            if (verdict == Verdict::Refuse) {
                return refuse(std::move(decision));
            }
            const std::optional<Status> finalStatus = attempt(std::move(decision));
            if (finalStatus) {
                return *finalStatus;
            }
        }
    }

    Decision decideNow(Millis now)
    {
        const std::shared_ptr<const RoutingSnapshot> snapshot = parts_.board.routing.read();
        const ServiceRoutes &routes = snapshot->routesOf(call_.facts.service);
        std::vector<std::uint32_t> local(snapshot->upstreams.size());
        for (const ServiceCandidate &candidate : routes.local) {
            local[candidate.upstream] = parts_.board.upstreams.dispatches(snapshot->upstreams[candidate.upstream].id)->count();
        }
        std::vector<std::uint32_t> remote(routes.remote.size());
        for (const RemoteView &view : routes.remote) {
            remote[view.slot] = parts_.remoteDispatches.counter(view.dataCentre, call_.facts.service)->count();
        }
        const auto begin = BootClock::now();
        Decision decision = decide(snapshot, call_.facts, OwnDispatches{ local, remote }, now, parts_.random);
        const std::chrono::duration<double, std::milli> spent = BootClock::now() - begin;
        parts_.metrics.observe(Timer::Decision, spent.count());
        return decision;
    }

    bool waitForCapacity(Millis now)
    {
        const Millis left = std::min(maxWaitInterval, call_.facts.deadline - now);
        const bool queued = dispatcher_.queue_.wait(policyNow()->requestClass, call_.facts.arrivedAt, left);
        queueTime_ += parts_.clock.monotonic() - now;
        return queued;
    }

    Status refuse(Decision decision)
    {
        const ErrorCode code = decision.refusal;
        const std::optional<Millis> retryAfter = decision.retryAfter;
        addTraceStep(std::move(decision), "refused");
        if (lastError_ && code == ErrorCode::NoUpstream) {
            return failure(lastError_->code, lastError_->message, lastError_->retryAfter);
        }
        return failure(code, "no permitted upstream or data centre can run this request now", retryAfter);
    }

    std::optional<Status> attempt(Decision decision)
    {
        if (attempts_ > 0) {
            if (!dispatcher_.retries_.takeRetry()) {
                return failure(ErrorCode::UpstreamFailed, "the retry budget is exhausted", Millis{ 1000 });
            }
            parts_.metrics.count(isResuming() ? Counter::Resumes : Counter::Retries);
            logEvent(isResuming() ? LogEvent::RequestResumed : LogEvent::RequestRetried,
                     { { "request", call_.facts.requestId }, { "attempt", std::to_string(attempts_ + 1) } });
        }
        ++attempts_;
        sink_.restart(versionOfTarget(decision));
        call_.resumeFrom = sink_.tokens();
        AttemptResult result = decision.verdict == Verdict::Serve ? serve(decision) : forward(decision);
        if (result.end == AttemptEnd::Complete && !sink_.isComplete()) {
            result = AttemptResult{ AttemptEnd::Broken,
                                    Error{ ErrorCode::UpstreamFailed, "the stream ended before its closing event",
                                           RunState::MayHaveRun, std::nullopt } };
        }
        if (sink_.hasBegunStream()) {
            call_.facts.streamVersion = sink_.streamVersion();
        }
        addTraceStep(std::move(decision), outcomeText(result));
        return afterAttempt(result);
    }

    /// Returns the version of the upstream that is to serve the call; no value if another daemon is.
    std::optional<std::string> versionOfTarget(const Decision &decision) const
    {
        const ServiceRoutes &routes = decision.snapshot->routesOf(call_.facts.service);
        const auto candidate = std::find_if(routes.local.begin(), routes.local.end(),
                                            [&decision](const ServiceCandidate &one) { return one.upstream == decision.target; });
        const bool isLocal = decision.verdict == Verdict::Serve && candidate != routes.local.end();
        return isLocal ? std::optional(candidate->version) : std::nullopt;
    }

    AttemptResult serve(const Decision &decision)
    {
        const UpstreamView &view = decision.snapshot->upstreams[decision.target];
        const Millis startedAt = parts_.clock.monotonic();
        const std::shared_ptr<DispatchCounter> counter = parts_.board.upstreams.dispatches(view.id);
        counter->started(startedAt);
        AttemptResult result = parts_.upstreams.attempt(view.address, call_, call_.facts.deadline - startedAt, sink_);
        counter->ended(startedAt);
        const Millis endedAt = parts_.clock.monotonic();
        dispatcher_.queue_.wakeOne(endedAt);
        if (result.end == AttemptEnd::Complete && sink_.isComplete()) {
            parts_.board.upstreams.recordSuccess(view.id);
        } else if (result.end != AttemptEnd::ReceiverGone && result.error.code != ErrorCode::Overloaded) {
            parts_.board.upstreams.recordFailure(view.id, endedAt);
        }
        call_.facts.tried.push_back(view.id);
        return result;
    }

    AttemptResult forward(const Decision &decision)
    {
        const RemoteView &view = decision.snapshot->routesOf(call_.facts.service).remote[decision.target];
        const Millis startedAt = parts_.clock.monotonic();
        const std::shared_ptr<DispatchCounter> counter = parts_.remoteDispatches.counter(view.dataCentre, call_.facts.service);
        counter->started(startedAt);
        parts_.metrics.count(Counter::SentAway);
        const RequestPolicy &policy = decision.snapshot->settings->policy(call_.facts.organisation, call_.facts.service);
        Call forwardedCall = call_;
        // Data centres that were tried count as visited like those that the request passed through: it must not return to either.
        forwardedCall.facts.visited.push_back(decision.snapshot->settings->place().dataCentre);
        AttemptResult result
            = parts_.peers.forward(view.dataCentre, forwardedCall, policy, call_.facts.deadline - startedAt, sink_);
        counter->ended(startedAt);
        call_.facts.visited.push_back(view.dataCentre);
        return result;
    }

    std::optional<Status> afterAttempt(const AttemptResult &result)
    {
        lastError_ = result.error;
        switch (result.end) {
        case AttemptEnd::Complete:
            return success();
        case AttemptEnd::ReceiverGone:
            run_ = RunState::MayHaveRun;
            return sink_.isPastDeadline() ? failure(ErrorCode::DeadlineExceeded, "the deadline passed")
                                          : failure(ErrorCode::Cancelled, "the caller went away");
        case AttemptEnd::NotRun:
            break;
        case AttemptEnd::Broken:
            run_ = RunState::MayHaveRun;
            if (!mayRetry()) {
                return failure(result.error.code, result.error.message);
            }
            break;
        }
        if (attempts_ >= policyNow()->maxAttempts) {
            return failure(result.error.code, result.error.message, result.error.retryAfter);
        }
        return std::nullopt;
    }

    /// A broken stream may be resumed at its next token; any other call only while none of its answer has reached the caller.
    bool mayRetry() const
    {
        if (call_.atMostOnce) {
            return false;
        }
        const bool isVersionUnknown = sink_.hasBegunStream() && !sink_.streamVersion();
        return call_.retryable && (call_.streamed ? !isVersionUnknown : !sink_.started());
    }

    bool isResuming() const
    {
        return sink_.started();
    }

    Error failure(ErrorCode code, std::string message, std::optional<Millis> retryAfter = std::nullopt) const
    {
        return Error{ code, std::move(message), run_, retryAfter };
    }

    static std::string outcomeText(const AttemptResult &result)
    {
        switch (result.end) {
        case AttemptEnd::Complete:
            return "complete";
        case AttemptEnd::NotRun:
            return fmt::format("not run: {}", result.error.message);
        case AttemptEnd::Broken:
            return fmt::format("broken: {}", result.error.message);
        case AttemptEnd::ReceiverGone:
            return "receiver gone";
        }
        return {};
    }

    void addTraceStep(Decision decision, std::string outcome)
    {
        trace_.steps.push_back(TraceStep{ parts_.clock.wall().count(), std::move(decision), std::move(outcome) });
    }

    void firstByte()
    {
        parts_.metrics.observe(Timer::FirstByte, static_cast<double>((parts_.clock.monotonic() - call_.facts.arrivedAt).count()));
    }

    void recordOutcome(const Status &status)
    {
        parts_.metrics.count(Counter::TokensStreamed, sink_.tokens());
        parts_.metrics.observe(Timer::WholeRequest,
                               static_cast<double>((parts_.clock.monotonic() - call_.facts.arrivedAt).count()));
        if (queueTime_ > Millis{ 0 }) {
            parts_.metrics.observe(Timer::QueueWait, static_cast<double>(queueTime_.count()));
        }
        trace_.outcome
            = isOk(status) ? "complete" : fmt::format("{}, {}", nameOf(errorOf(status).code), nameOf(errorOf(status).run));
        if (!isOk(status)) {
            const Error &error = errorOf(status);
            const bool refused = error.run == RunState::NotRun;
            parts_.metrics.count(Counter::Refusals, refused ? 1 : 0);
            logEvent(refused ? LogEvent::RequestRefused : LogEvent::RequestFailed,
                     { { "request", call_.facts.requestId },
                       { "code", std::string(nameOf(error.code)) },
                       { "message", error.message } });
        }
        parts_.traces.add(std::move(trace_));
    }

    Dispatcher &dispatcher_;
    DispatcherParts &parts_;
    Call call_;
    ObservedSink sink_;
    RequestTrace trace_;
    std::optional<Claim> claim_;
    std::optional<Error> lastError_;
    RunState run_ = RunState::NotRun;
    unsigned attempts_ = 0;
    Millis queueTime_{ 0 };
};

Dispatcher::Dispatcher(DispatcherParts parts) : parts_(parts)
{
}

Status Dispatcher::run(Call call, AnswerSink &sink)
{
    const std::shared_ptr<const CompiledSettings> settings = parts_.board.settings.read();
    retries_.addCredit(settings->policy(call.facts.organisation, call.facts.service).retryBudgetPercent);
    return Execution(*this, std::move(call), sink).execute();
}

void Dispatcher::wakeWaiting()
{
    queue_.wakeAll();
}

std::size_t Dispatcher::waiting() const
{
    return queue_.waiting();
}

} // namespace Portpaddle
