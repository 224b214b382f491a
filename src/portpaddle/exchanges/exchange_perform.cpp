// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Performs the attempts of an exchange, one after the other or one in place of another, and reports their exceptions as failures.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"
#include "portpaddle/net/spawn.h"

#include <exception>
#include <utility>

namespace Portpaddle {

namespace {

/// Lists an exchange among the streams of an upstream, however the attempt ends.
class StreamRegistration
{
public:
    StreamRegistration(std::shared_ptr<StreamsByUpstream> streams, std::string upstream, Exchange *exchange)
        : streams_(std::move(streams)), upstream_(std::move(upstream)), exchange_(exchange)
    {
        (*streams_)[upstream_].insert(exchange_);
    }
    StreamRegistration(const StreamRegistration &) = delete;
    StreamRegistration &operator=(const StreamRegistration &) = delete;
    ~StreamRegistration()
    {
        const auto found = streams_->find(upstream_);
        if (found != streams_->end() && found->second.erase(exchange_) > 0 && found->second.empty()) {
            streams_->erase(found);
        }
    }

private:
    std::shared_ptr<StreamsByUpstream> streams_;
    std::string upstream_;
    Exchange *exchange_;
};

} // namespace

Task<AttemptReport> Exchange::attempt(Target target)
{
    AttemptReport report = co_await perform(makeAttempt(std::move(target), std::exchange(place_, std::nullopt)), nullptr);
    while (standby_ && needsStandby(report)) {
        const std::shared_ptr<Standby> standby = std::exchange(standby_, nullptr);
        standby->isAdopted = true;
        gateway_.metrics_.count(Counter::SilentUpstreamsLeft);
        gateway_.metrics_.count(progress_.begun ? Counter::Resumes : Counter::Retries);
        log(progress_.begun ? LogEvent::RequestResumed : LogEvent::RequestRetried, 0,
            "another upstream goes on for it: " + report.error.message);
        report = co_await perform(standby->attempt, standby);
    }
    dropStandby();
    co_return report;
}

Task<AttemptReport> Exchange::perform(std::shared_ptr<Attempt> attempt, std::shared_ptr<Standby> standby)
{
    const Target &target = attempt->target;
    const bool local = target.upstream.has_value();
    current_ = attempt;
    lastTarget_ = target;
    const auto watch = std::make_shared<SilenceWatch>(SilenceWatch{ attempt->plan.peer, BootClock::now() });
    if (local && route_->mayRunTwice() && !request_.relayed) {
        watchSilence(watch);
    }
    const bool movable = local && attempt->plan.streamed && target.spec->movesMemory && !move_.begun();
    AttemptReport report;
    if (movable) {
        const StreamRegistration registration(gateway_.streams_, attempt->plan.peer, this);
        report = co_await bringAnswer(*attempt, standby.get());
    } else {
        report = co_await bringAnswer(*attempt, standby.get());
    }
    current_.reset();
    lastFraming_ = report.framing;
    watch->hasEnded = true;
    silenceTimer_.cancel();
    report = co_await proveEnd(*attempt, std::move(report));
    noteAttemptEnd(*attempt, report);
    co_return report;
}

Task<AttemptReport> Exchange::bringAnswer(Attempt &attempt, Standby *standby)
{
    std::exception_ptr failure;
    try {
        if (standby == nullptr) {
            co_return co_await attempt.sending.run(attempt.plan, attempt.callbacks);
        }
        const bool started = co_await standby->awaitStart();
        if (!started) {
            co_return std::move(*standby->failure);
        }
        co_return co_await attempt.sending.receive(attempt.callbacks);
    } catch (...) {
        failure = std::current_exception();
    }
    progress_.splitter.dropPartial();
    co_return reportOf(failure, attempt);
}

Task<std::optional<AttemptReport>> Exchange::startSending(Attempt &attempt)
{
    std::exception_ptr failure;
    try {
        co_return co_await attempt.sending.start(attempt.plan, attempt.callbacks);
    } catch (...) {
        failure = std::current_exception();
    }
    co_return reportOf(failure, attempt);
}

// The upstream is not to blame for an exception before anything was sent to it, as for a request that was withheld.
AttemptReport Exchange::reportOf(const std::exception_ptr &exception, Attempt &attempt) const
{
    const std::string message = messageOf(exception);
    logEvent(LogEvent::TaskFailed, { { "task", "attempt" }, { "request", request_.id }, { "message", message } });
    const bool sent = attempt.sending.abandon();
    AttemptReport report = failedAttempt(sent ? AttemptEnd::Broken : AttemptEnd::NotRun, ErrorCode::UpstreamFailed,
                                         "an exception ended the attempt: " + message);
    report.sent = sent;
    report.withheld = !sent;
    return report;
}

} // namespace Portpaddle
