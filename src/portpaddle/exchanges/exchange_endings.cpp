// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The end of an exchange: its final answer, and the log line with the facts behind the outcome.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/net/elapsed.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/spawn.h"

#include <fmt/format.h>

#include <utility>

namespace Portpaddle {

namespace http = boost::beast::http;

Task<void> Exchange::finish(AttemptReport report)
{
    if (handedOver_) {
        log(LogEvent::RequestResumed, 0, "handed over to the daemon that forwarded the request");
        co_return;
    }
    if (interruption_ == Interruption::CallerLeft || report.end == AttemptEnd::ReceiverGone) {
        writer_.abort();
        log(LogEvent::RequestAbandoned, 0, report.error.message);
        co_return;
    }
    if (progress_.begun) {
        const bool whole = report.end == AttemptEnd::Complete && interruption_ == Interruption::None;
        if (whole) {
            const bool taken = co_await writer_.end();
            log(taken ? LogEvent::RequestServed : LogEvent::RequestAbandoned, 200, report.error.message);
        } else {
            endBegun(report.error.message);
        }
        co_return;
    }
    if (report.bufferedAnswer) {
        const unsigned status = report.bufferedAnswer->status;
        WholeAnswer answer = std::move(*report.bufferedAnswer);
        setRelayHeaders(answer);
        const bool taken = co_await answerWhole(std::move(answer));
        const LogEvent end = status < 500 ? LogEvent::RequestServed : LogEvent::RequestFailed;
        log(taken ? end : LogEvent::RequestAbandoned, status, report.error.message);
        co_return;
    }
    if (interruption_ == Interruption::Stopping) {
        report.error = stoppingError();
    }
    if (!mayHaveRun_) {
        if (countedUnits_ > 0 && organisation_ != nullptr) {
            gateway_.organisationLimits_.refund(*organisation_, countedUnits_);
        }
        co_await refuse(report.error.code, report.error.message, retryAfterFor(report));
        co_return;
    }
    const bool late = interruption_ == Interruption::Deadline || timeLeft() <= minAttemptTime;
    co_await fail(late ? HttpStatus::gatewayTimeout : HttpStatus::badGateway, report.error.message);
}

void Exchange::endBegun(const std::string &message)
{
    writer_.abort();
    log(LogEvent::RequestFailed, HttpStatus::ok, message);
}

Millis Exchange::retryAfterFor(const AttemptReport &report)
{
    if (report.error.retryAfter) {
        return *report.error.retryAfter;
    }
    return gateway_.allBackingOff(service_, BootClock::now()) ? retryAfterBackoff() : suggestedRetryAfter();
}

/// Answers a request that has not run and will not run.
Task<void> Exchange::refuse(ErrorCode code, std::string message, Millis retryAfter)
{
    if (writer_.state() != AnswerState::None) {
        endBegun(message);
        co_return;
    }
    gateway_.metrics_.count(Counter::Refusals);
    WholeAnswer answer;
    answer.status = code == ErrorCode::LimitReached ? HttpStatus::tooMany : HttpStatus::unavailable;
    log(LogEvent::RequestRefused, answer.status, message);
    answer.fields.set(http::field::content_type, "text/plain");
    answer.fields.set(http::field::retry_after, fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()));
    answer.fields.set(gateway_.names_.requestId, request_.id);
    if (request_.relayed) {
        answer.fields.set(relayOutcomeHeader, relayNotRun);
    }
    if (request_.relayed && gateway_.reach_.reach(service_) != Reach::Whole) {
        answer.fields.set(relayCutOffHeader, "1");
    }
    if (request_.relayed && wasAcceptedUnderNewer()) {
        answer.fields.set(configurationHeader,
                          encodeConfigurationStamp({ gateway_.configurationVersion(), gateway_.identity_.id }));
    }
    setRelayHeaders(answer);
    answer.body = fmt::format("{}: {}\n", nameOf(code), message);
    co_await answerWhole(std::move(answer));
}

Task<void> Exchange::fail(unsigned status, std::string message)
{
    if (writer_.state() != AnswerState::None) {
        endBegun(message);
        co_return;
    }
    log(LogEvent::RequestFailed, status, message);
    WholeAnswer answer;
    answer.status = status;
    answer.fields.set(http::field::content_type, "text/plain");
    answer.fields.set(gateway_.names_.requestId, request_.id);
    if (request_.relayed && !mayHaveRun_) {
        answer.fields.set(relayOutcomeHeader, relayNotRun);
    }
    setRelayHeaders(answer);
    answer.body = message + "\n";
    co_await answerWhole(std::move(answer));
}

bool Exchange::logsBudget() const
{
    return sends_ > 1 || retryDenial_ == RetryDenial::BudgetSpent;
}

/// Logs one line with the facts behind the outcome: the settings' version, the targets asked, the prediction and the result.
void Exchange::log(LogEvent event, unsigned status, const std::string &message) const
{
    logEvent(event,
             { { "request", request_.id },
               { "route", route_ != nullptr ? route_->name : std::string() },
               { "service", service_ },
               { "organisation", organisationName_ },
               { "settings_version", services_ ? std::to_string(services_->version) : std::string("none") },
               { "store_reachable", gateway_.view()->storeReachable ? "true" : "false" },
               { "asked", askedTargets_ },
               { "versions", askedVersions_ },
               { "resumes", request_.resumes },
               { "sends", std::to_string(sends_) },
               { "no_repeat", std::string(nameOf(retryDenial_)) },
               { "paid_by", std::string(nameOf(payment_)) },
               { "retry_divisor", logsBudget() ? std::to_string(gateway_.retryDivisor()) : std::string() },
               { "retry_credit",
                 logsBudget() ? fmt::format("{:.1f}", gateway_.retries_.left(service_, BootClock::now())) : std::string() },
               { "fingerprint", fingerprint_ ? fingerprint_->hex() : std::string() },
               { "admission", std::string(nameOf(placement_.admission)) },
               { "urgency", std::string(nameOf(placement_.urgency)) },
               { "target_ms", fmt::format("{:.0f}", placement_.remainingTargetMs) },
               { "predicted_ms", fmt::format("{:.0f}", placement_.predictedMs) },
               { "queued_tokens", fmt::format("{:.0f}", placement_.queuedTokens) },
               { "prefill_tokens", fmt::format("{:.0f}", placement_.prefillTokens) },
               { "running", fmt::format("{:.0f}", placement_.running) },
               { "prompt_tokens", std::to_string(request_.prompt.promptTokens) },
               { "tokens_out", std::to_string(request_.prompt.expectedTokensOut) },
               { "first_event_ms", fmt::format("{:.0f}", firstEventMs_) },
               { "events", std::to_string(eventsSeen_) },
               { "longest_pause_ms", std::to_string(std::chrono::duration_cast<Millis>(longestPause_).count()) },
               { "answer_framing", std::string(nameOf(lastFraming_)) },
               { "stop_ordered", move_.stopOrdered() ? "true" : "false" },
               { "begun", progress_.begun || request_.eventsSeen > 0 ? "true" : "false" },
               { "time_left_ms", std::to_string(timeLeft().count()) },
               { "took_ms", std::to_string(elapsedSince(request_.arrivedAt).count()) },
               { "relayed", request_.relayed ? "true" : "false" },
               { "status", std::to_string(status) },
               { "run", std::string(nameOf(mayHaveRun_ ? RunState::MayHaveRun : RunState::NotRun)) },
               { "message", message } });
}

void Exchange::logUnfinished() const
{
    log(LogEvent::RequestFailed, 0, "this daemon stops before the answer is complete");
}

// A stream that has begun goes on until the end, since nothing can be said in its answer.
void Exchange::endUnanswered()
{
    if (writer_.state() == AnswerState::None && !progress_.begun && !answering_) {
        interrupt(Interruption::Stopping);
    }
}

Task<bool> Exchange::answerWhole(WholeAnswer answer)
{
    answering_ = true;
    co_return co_await writer_.whole(std::move(answer));
}

void Exchange::releaseHeld()
{
    deadlineTimer_.cancel();
    silenceTimer_.cancel();
    dropStandby();
    refundRetry();
    givePlaceBack(place_, PlaceEnd::Unknown);
}

// Outside of an attempt it is not known what was sent, so a request of which any target was asked may have run.
Task<void> Exchange::endAfter(const std::exception_ptr &exception)
{
    const std::string message = "an exception ended the request: " + messageOf(exception);
    logEvent(LogEvent::TaskFailed, { { "task", "request" }, { "request", request_.id }, { "message", message } });
    runGuarded("request_held", [this] { releaseHeld(); });
    mayHaveRun_ = mayHaveRun_ || !askedTargets_.empty();
    if (progress_.begun || answering_ || interruption_ == Interruption::CallerLeft) {
        writer_.abort();
        log(LogEvent::RequestFailed, 0, message);
    } else if (mayHaveRun_) {
        co_await fail(HttpStatus::badGateway, message);
    } else {
        co_await refuse(ErrorCode::NoUpstream, message, suggestedRetryAfter());
    }
}

void Exchange::setRelayHeaders(WholeAnswer &answer) const
{
    if (request_.relayed) {
        const UpstreamKeys ranHere(ranAt_.begin() + static_cast<std::ptrdiff_t>(request_.ranAt.size()), ranAt_.end());
        setRelayReport(answer.fields, { sendsByThisDaemon(), ranHere });
    }
}

unsigned Exchange::sendsByThisDaemon() const
{
    return sends_ - request_.earlierSends;
}

} // namespace Portpaddle
