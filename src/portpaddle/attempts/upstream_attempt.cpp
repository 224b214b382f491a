// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/attempts/upstream_attempt.h"

#include "portpaddle/callers/connection_headers.h"
#include "portpaddle/net/answer_framing.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

// A connection is no longer used from this long before the upstream may close it.
constexpr std::chrono::milliseconds keepAliveMargin{ 1'000 };

/// Returns how often another daemon says it sent the request; no value if it does not say or the number is implausible.
std::optional<unsigned> readReportedSends(const http::fields &fields)
{
    const std::string_view text = viewOf(fields[relaySendsHeader]);
    unsigned sends = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), sends);
    return parsed.ec == std::errc{} && sends <= maxReportedSends ? std::optional(sends) : std::nullopt;
}

/// Returns the timeout in the answer's Keep-Alive header less a margin, or the default if there is none.
std::chrono::milliseconds keepAliveTime(const http::fields &fields)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view value = viewOf(fields[http::field::keep_alive]);
    const std::size_t at = value.find(key);
    if (at == std::string_view::npos) {
        return defaultKeep;
    }
    unsigned seconds = 0;
    std::from_chars(value.data() + at + key.size(), value.data() + value.size(), seconds);
    const std::chrono::milliseconds timeout = std::chrono::seconds(seconds);
    return std::max(timeout - keepAliveMargin, timeout / 2);
}

/// Returns what delimits the body of the answer whose head was parsed.
template<typename Parser>
BodyFraming framingOf(const Parser &parser)
{
    if (parser.chunked()) {
        return BodyFraming::Chunks;
    }
    if (parser.content_length()) {
        return BodyFraming::Length;
    }
    return parser.need_eof() ? BodyFraming::UntilClose : BodyFraming::None;
}

} // namespace

AttemptReport failedAttempt(AttemptEnd end, ErrorCode code, std::string message)
{
    AttemptReport report;
    report.end = end;
    report.error = Error{ code, std::move(message), end == AttemptEnd::NotRun ? RunState::NotRun : RunState::MayHaveRun, {} };
    report.sent = true;
    return report;
}

void setRelayReport(http::fields &fields, const RelayReport &report)
{
    fields.set(relaySendsHeader, std::to_string(report.sends));
    if (!report.ranAt.empty()) {
        fields.set(ranAtHeader, encodeUpstreamKeys(report.ranAt));
    }
}

boost::beast::http::fields forwardableFields(const http::fields &fields)
{
    http::fields result;
    for (const auto &field : fields) {
        if (!isHopByHop(field.name(), viewOf(field.name_string()), fields) && !isInterDaemonHeader(viewOf(field.name_string()))) {
            result.insert(field.name(), field.name_string(), field.value());
        }
    }
    return result;
}

UpstreamAttempt::UpstreamAttempt(ConnectionPool &pool, MemoryBudget &answerMemory, const HeaderNames &names,
                                 const CallerRequest &request, CallerWriter &writer, StreamProgress &progress)
    : pool_(pool), answerMemory_(answerMemory), names_(names), request_(request), writer_(writer), progress_(progress)
{
}

void UpstreamAttempt::interrupt()
{
    interrupted_ = true;
    if (opening_ != nullptr) {
        opening_->interrupt();
    }
    if (connection_) {
        connection_->interrupt();
    }
}

bool UpstreamAttempt::isPassingOn() const
{
    return isPassingOn_;
}

void UpstreamAttempt::discard()
{
    interrupt();
    if (connection_) {
        releaseConnection();
    }
}

bool UpstreamAttempt::abandon()
{
    interrupt();
    if (connection_) {
        releaseConnection();
    }
    return sending_;
}

Task<AttemptReport> UpstreamAttempt::run(const AttemptPlan &plan, const AttemptCallbacks &callbacks)
{
    std::optional<AttemptReport> ended = co_await start(plan, callbacks);
    if (ended) {
        co_return std::move(*ended);
    }
    co_return co_await receive(callbacks);
}

Task<std::optional<AttemptReport>> UpstreamAttempt::start(const AttemptPlan &plan, const AttemptCallbacks &callbacks)
{
    AttemptReport report;
    peer_ = plan.peer;
    streamed_ = plan.streamed;
    takenUpAfter_ = plan.takenUpAfter;
    relayReport_ = plan.relayReport;
    upstreamVersion_ = plan.upstreamVersion;
    remote_ = plan.age.has_value();
    const bool opened = co_await openConnection(plan, callbacks, report);
    if (!opened) {
        co_return report;
    }
    if (!callbacks.maySend()) {
        releaseConnection();
        report = failedAttempt(AttemptEnd::NotRun, ErrorCode::UpstreamFailed, "the target no longer accepts requests");
        report.sent = false;
        report.withheld = true;
        co_return report;
    }
    sending_ = true;
    callbacks.sending();
    std::optional<AttemptReport> ended = co_await sendRequest(plan, callbacks);
    if (ended) {
        releaseConnection();
    }
    co_return ended;
}

Task<AttemptReport> UpstreamAttempt::receive(const AttemptCallbacks &callbacks)
{
    AttemptReport report = co_await receiveAnswer(callbacks);
    releaseConnection();
    co_return report;
}

/// Keeps the connection for other requests if it can serve them, and closes it otherwise.
void UpstreamAttempt::releaseConnection()
{
    if (reusable_ && connection_->looksUsable() && !interrupted_) {
        pool_.keep(peer_, std::move(connection_));
    } else {
        connection_.reset();
        pool_.ended(peer_);
    }
}

Task<bool> UpstreamAttempt::openConnection(const AttemptPlan &plan, const AttemptCallbacks &callbacks, AttemptReport &report)
{
    connection_ = pool_.takeIdle(plan.peer, BootClock::now());
    if (connection_) {
        co_return true;
    }
    NetError error;
    connection_ = co_await pool_.connect(plan.peer, plan.address, plan.connectTimeout, &opening_, error);
    if (connection_ && interrupted_) {
        connection_.reset();
        pool_.ended(plan.peer);
        error = boost::asio::error::operation_aborted;
    }
    if (!connection_) {
        report = failedAttempt(AttemptEnd::NotRun, ErrorCode::UpstreamFailed, "no connection: " + error.message());
        report.sent = false;
        report.connectionRefused = error == boost::asio::error::connection_refused;
        co_return false;
    }
    callbacks.connected();
    co_return true;
}

/// Sends the request and reads the head of the answer; returns a report if no answer is to be received after it.
Task<std::optional<AttemptReport>> UpstreamAttempt::sendRequest(const AttemptPlan &plan, const AttemptCallbacks &callbacks)
{
    NetError error;
    const Message message = composeRequest(plan);
    isFresh_ = !connection_->reused && connection_->looksUsable();
    // An upstream may answer before it has read a long body. Its answer counts, so a failed write alone decides nothing.
    co_await http::async_write(connection_->socket, message, awaitingInto(error));
    connection_->noteError(error);
    NetError readError;
    const bool gotHead = co_await readHead(parser_, callbacks, readError);
    if (nameless_) {
        co_return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                "an answer that names no request, status " + std::to_string(parser_->get().result_int()));
    }
    if (!gotHead) {
        co_return brokenConnection("no answer: " + (error ? error : readError).message());
    }
    head_ = parser_->get();
    const http::fields &fields = head_;
    // What daemons tell each other is believed of daemons only.
    relayedSends_ = remote_ ? readReportedSends(fields) : std::nullopt;
    const bool refusedByDaemon = remote_ && viewOf(fields[relayOutcomeHeader]) == relayNotRun;
    const bool notRun = refusedByDaemon || provesNotRun(parser_->get(), names_);
    // A refusal also carries notices about its upstream.
    const AnswerNotice notice = readNotice(parser_->get(), names_, std::chrono::system_clock::now());
    callbacks.headReceived(notice);
    turnedAway_ = notice.backoff.kind == RetryAfterKind::Named;
    if (notRun) {
        co_return co_await discardRefusal(plan);
    }
    std::optional<AttemptReport> rejection = rejectionOf(*parser_);
    std::optional<AttemptReport> unfit = unfitToReplace();
    if (!rejection && !unfit) {
        callbacks.answerBegins();
    }
    if (!rejection && plan.besideAnother) {
        rejection = std::move(unfit);
    }
    if (rejection) {
        addFactsOfHead(*rejection);
    }
    co_return rejection;
}

std::optional<AttemptReport> UpstreamAttempt::unfitToReplace() const
{
    const unsigned status = parser_->get().result_int();
    const bool isRest = !progress_.begun || (isStream(*parser_) && namesVersion(parser_->get()));
    if (isRest && status < HttpStatus::internalError) {
        return std::nullopt;
    }
    return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                         "status " + std::to_string(status) + " in place of an answer that replaces another one");
}

Task<AttemptReport> UpstreamAttempt::discardRefusal(const AttemptPlan &plan)
{
    const http::fields &fields = head_;
    const unsigned status = parser_->get().result_int();
    NetError error;
    const bool whole = co_await discardRest(*parser_, PeerBounds::refusalTime, error);
    updateReusable(*parser_, whole);
    AttemptReport report = failedAttempt(AttemptEnd::NotRun, ErrorCode::UpstreamFailed,
                                         "upstream did not run the request, status " + std::to_string(status));
    const std::string_view incarnation = viewOf(fields[names_.answeringUpstream]);
    addFactsOfHead(report);
    report.peerCutOff = remote_ && !fields[relayCutOffHeader].empty();
    report.peerOlder = remote_ && !fields[configurationHeader].empty();
    report.incarnationEnded = status == HttpStatus::misdirected && !incarnation.empty() && incarnation != plan.expectedUpstream;
    // The Retry-After of an unavailable upstream is meant for this daemon, not for the caller.
    if (remote_ || status != HttpStatus::unavailable) {
        const RetryAfter after = readRetryAfter(fields, std::chrono::system_clock::now());
        report.error.retryAfter = after.kind == RetryAfterKind::Named ? std::optional(after.time) : std::nullopt;
    }
    co_return report;
}

Task<AttemptReport> UpstreamAttempt::receiveAnswer(const AttemptCallbacks &callbacks)
{
    AttemptReport report;
    if (streamed_ && isStream(*parser_)) {
        report = co_await forwardStream(*parser_, callbacks);
    } else if (progress_.begun) {
        report = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                               "status " + std::to_string(parser_->get().result_int()) + " in place of the rest of the stream");
    } else {
        report = co_await readWholeAnswer(*parser_, callbacks);
    }
    const BodyFraming framing = framingOf(*parser_);
    // Daemons send lengths or chunks, so that their connection ended before the answer did.
    const bool looksWhole = report.end == AttemptEnd::Complete || report.bufferedAnswer;
    if (remote_ && looksWhole && framing == BodyFraming::UntilClose) {
        report = brokenConnection("the other daemon's answer has no end of its own");
    }
    addFactsOfHead(report);
    report.framing = framing;
    updateReusable(*parser_, report.end == AttemptEnd::Complete || report.bufferedAnswer.has_value());
    co_return report;
}

AttemptReport UpstreamAttempt::brokenConnection(std::string message) const
{
    AttemptReport report = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed, std::move(message));
    report.connectionBroke = !interrupted_ && !tooSlow_;
    return report;
}

/// Records whether the connection can serve another request.
void UpstreamAttempt::updateReusable(Parser &parser, bool whole)
{
    reusable_ = whole && parser.is_done() && parser.keep_alive() && !parser.need_eof() && connection_->buffer.size() == 0;
    if (reusable_) {
        connection_->usableUntil = BootClock::now() + keepAliveTime(head_);
    }
}

} // namespace Portpaddle
