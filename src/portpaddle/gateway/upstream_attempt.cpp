// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/upstream_attempt.h"

#include "portpaddle/gateway/connection_headers.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/http_status.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
// Answers that are not streams are held until they are whole, so that a torn one can be asked for again.
constexpr std::size_t maxWholeBytes = 8 * 1024 * 1024;
// Of a surplus or refused answer that is read only to be dropped.
constexpr std::size_t maxDroppedBytes = 64 * 1024;
// A connection is given up this long before the upstream may close it.
constexpr std::chrono::milliseconds keepMargin{ 1'000 };

AttemptReport failure(AttemptEnd end, ErrorCode code, std::string message)
{
    AttemptReport report;
    report.end = end;
    report.error = Error{ code, std::move(message), end == AttemptEnd::NotRun ? RunState::NotRun : RunState::MayHaveRun, {} };
    report.sent = true;
    return report;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Statuses that promise that the request did not run; an upstream that says so without the proof is not believed.
bool promisesNotRun(unsigned status)
{
    return status == HttpStatus::requestTimeout || status == HttpStatus::misdirected || status == HttpStatus::tooMany
        || status == HttpStatus::unavailable;
}

/// How many upstreams another daemon says that it asked; no value where it does not say, or says what cannot be.
std::optional<unsigned> sendsTold(const http::fields &fields)
{
    const std::string_view text = viewOf(fields[relaySendsHeader]);
    unsigned sends = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), sends);
    return parsed.ec == std::errc{} && sends <= maxToldSends ? std::optional(sends) : std::nullopt;
}

/// The time that an answer's Keep-Alive gives, less a margin.
std::chrono::milliseconds keepTime(const http::fields &fields)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view value = viewOf(fields[http::field::keep_alive]);
    const std::size_t at = value.find(key);
    if (at == std::string_view::npos) {
        return defaultKeep;
    }
    unsigned seconds = 0;
    std::from_chars(value.data() + at + key.size(), value.data() + value.size(), seconds);
    const std::chrono::milliseconds told = std::chrono::seconds(seconds);
    return std::max(told - keepMargin, told / 2);
}

} // namespace

boost::beast::http::fields passableFields(const http::fields &fields)
{
    http::fields result;
    for (const auto &field : fields) {
        if (!concernsConnection(field.name(), viewOf(field.name_string()), fields)
            && !isBetweenDaemons(viewOf(field.name_string()))) {
            result.insert(field.name(), field.name_string(), field.value());
        }
    }
    return result;
}

UpstreamAttempt::UpstreamAttempt(ConnectionPool &pool, const HeaderNames &names, const CallerRequest &request,
                                 CallerWriter &writer, StreamProgress &progress)
    : pool_(pool), names_(names), request_(request), writer_(writer), progress_(progress)
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

Task<AttemptReport> UpstreamAttempt::run(const AttemptPlan &plan, const AttemptEvents &events)
{
    AttemptReport report;
    toldSends_ = plan.toldSends;
    remote_ = plan.age.has_value();
    const bool opened = co_await open(plan, report);
    if (!opened) {
        co_return report;
    }
    if (!events.maySend()) {
        connection_.reset();
        pool_.ended(plan.peer);
        report = failure(AttemptEnd::NotRun, ErrorCode::UpstreamFailed, "the target takes nothing any more");
        report.sent = false;
        report.withheld = true;
        co_return report;
    }
    events.sending();
    report = co_await talk(plan, events);
    if (reusable_ && connection_->quiet() && !interrupted_) {
        pool_.keep(plan.peer, std::move(connection_));
    } else {
        connection_.reset();
        pool_.ended(plan.peer);
    }
    co_return report;
}

Task<bool> UpstreamAttempt::open(const AttemptPlan &plan, AttemptReport &report)
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
        report = failure(AttemptEnd::NotRun, ErrorCode::UpstreamFailed, "no connection: " + error.message());
        report.sent = false;
        report.connectionRefused = error == boost::asio::error::connection_refused;
        co_return false;
    }
    co_return true;
}

UpstreamAttempt::Message UpstreamAttempt::compose(const AttemptPlan &plan) const
{
    const HttpRequest &original = request_.message;
    Message message;
    message.method_string(original.method_string());
    message.target(original.target());
    message.version(11);
    for (const auto &field : original) {
        const bool own = isSetBySystem(viewOf(field.name_string()), names_);
        const bool key = plan.dropsKey && boost::beast::iequals(field.name_string(), names_.authorization);
        if (!own && !key && !concernsConnection(field.name(), viewOf(field.name_string()), original)) {
            message.insert(field.name(), field.name_string(), field.value());
        }
    }
    message.set(names_.timeLeft, std::to_string(plan.timeLeft.count()));
    message.set(names_.priority, std::to_string(plan.priority));
    if (!plan.organisation.empty()) {
        message.set(plan.age ? relayOrganisationHeader : names_.organisation.c_str(), plan.organisation);
    }
    if (!plan.memoryFrom.empty()) {
        message.set(names_.memoryFrom, plan.memoryFrom);
    }
    if (!plan.fetchFrom.empty()) {
        message.set(names_.memoryFetch, plan.fetchFrom);
    }
    if (plan.age) {
        message.set(relayAgeHeader, std::to_string(plan.age->count()));
        message.set(relaySendsHeader, std::to_string(plan.earlierSends));
        message.set(continuesHeader, "1");
    }
    if (plan.continuation) {
        message.set(continueAtHeader, encodeContinuation(*plan.continuation));
    }
    if (!plan.expectedUpstream.empty()) {
        message.set(names_.expectedUpstream, plan.expectedUpstream);
    }
    if (!progress_.events.lastId().empty()) {
        message.set(names_.lastEventId, progress_.events.lastId());
    }
    message.body() = boost::beast::span<const char>(original.body().data(), original.body().size());
    const bool hasBody = original.has_content_length() || original.chunked() || !original.body().empty();
    if (hasBody) {
        message.content_length(original.body().size());
    }
    return message;
}

Task<AttemptReport> UpstreamAttempt::talk(const AttemptPlan &plan, const AttemptEvents &events)
{
    NetError error;
    const Message message = compose(plan);
    // An upstream may answer before it has read a long body: its answer counts, so a failed write alone decides nothing.
    co_await http::async_write(connection_->socket, message, awaitingInto(error));
    std::optional<Parser> parser;
    NetError readError;
    const bool gotHead = co_await readHead(parser, events, readError);
    if (!gotHead) {
        co_return brokenConnection("no answer: " + (error ? error : readError).message());
    }
    const http::fields &fields = parser->get();
    const unsigned status = parser->get().result_int();
    const std::optional<unsigned> relayedSends = sendsTold(fields);
    const bool notRun = provesNotRun(parser->get(), names_) || viewOf(fields[relayOutcomeHeader]) == relayNotRun;
    // Also what an upstream refuses tells of it.
    const AnswerNotice notice = readNotice(parser->get(), names_, std::chrono::system_clock::now());
    events.answered(notice);
    const bool turnedAway = notice.backoff.kind == RetryAfterKind::Named;
    AttemptReport report;
    if (notRun) {
        std::string dropped;
        const bool whole = co_await readRest(*parser, dropped, readError);
        settle(*parser, whole);
        report
            = failure(AttemptEnd::NotRun, ErrorCode::UpstreamFailed, "upstream did not run it, status " + std::to_string(status));
        const std::string_view life = viewOf(fields[names_.answeringUpstream]);
        report.relayedSends = relayedSends;
        report.incarnationEnded = status == HttpStatus::misdirected && !life.empty() && life != plan.expectedUpstream;
        report.turnedAway = turnedAway;
        // What an upstream asks of this daemon is not what the caller has to keep to.
        if (remote_ || status != HttpStatus::unavailable) {
            const RetryAfter after = readRetryAfter(fields, std::chrono::system_clock::now());
            report.error.retryAfter = after.kind == RetryAfterKind::Named ? std::optional(after.time) : std::nullopt;
        }
        co_return report;
    }
    if (plan.streamed && isSuccess(status)) {
        report = co_await passStream(*parser, events);
    } else {
        report = co_await readWhole(*parser);
    }
    report.relayedSends = relayedSends;
    report.turnedAway = turnedAway;
    settle(*parser, report.end == AttemptEnd::Complete || report.failedAnswer.has_value());
    co_return report;
}

Task<bool> UpstreamAttempt::readHead(std::optional<Parser> &parser, const AttemptEvents &events, NetError &error)
{
    while (true) {
        parser.emplace();
        parser->header_limit(maxAnswerHeaderBytes);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        if (request_.message.method() == http::verb::head) {
            parser->skip(true);
        }
        co_await http::async_read_header(connection_->socket, connection_->buffer, *parser, awaitingInto(error));
        if (error) {
            co_return false;
        }
        if (parser->get().result_int() < 200) {
            continue;
        }
        const std::string_view id = viewOf(parser->get()[names_.requestId]);
        if (id.empty() || id == request_.id) {
            co_return true;
        }
        // A late answer to an earlier request of this connection: ours comes after it.
        AnswerNotice notice = readNotice(parser->get(), names_, std::chrono::system_clock::now());
        notice.fromUpstream = false;
        events.answered(notice);
        std::string dropped;
        const bool whole = co_await readRest(*parser, dropped, error);
        if (!whole || !parser->keep_alive()) {
            co_return false;
        }
    }
}

/// Reads a short body to its end; false if it is torn or too long.
Task<bool> UpstreamAttempt::readRest(Parser &parser, std::string &body, NetError &error)
{
    while (!parser.is_done()) {
        co_await http::async_read_some(connection_->socket, connection_->buffer, parser, awaitingInto(error));
        body.append(parser.get().body());
        parser.get().body().clear();
        if (error || body.size() > maxDroppedBytes) {
            co_return false;
        }
    }
    co_return true;
}

AttemptReport UpstreamAttempt::brokenConnection(std::string message) const
{
    AttemptReport report = failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, std::move(message));
    report.connectionBroke = !interrupted_;
    return report;
}

Task<AttemptReport> UpstreamAttempt::readWhole(Parser &parser)
{
    NetError error;
    while (!parser.is_done()) {
        co_await http::async_read_some(connection_->socket, connection_->buffer, parser, awaitingInto(error));
        if (error) {
            co_return brokenConnection("answer broke off: " + error.message());
        }
        if (parser.get().body().size() > maxWholeBytes) {
            co_return failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "answer is too large");
        }
    }
    co_return judgeWhole(parser, std::move(parser.get().body()));
}

/// What a whole answer means: one that must not be shown as it is becomes a failure.
AttemptReport UpstreamAttempt::judgeWhole(Parser &parser, std::string body) const
{
    const http::fields &fields = parser.get();
    const unsigned status = parser.get().result_int();
    if (isSuccess(status) && (!isSigned(fields, names_) || !fields[http::field::content_encoding].empty())) {
        return failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "answer is not the upstream's own");
    }
    if (promisesNotRun(status)) {
        return failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "unproved refusal, status " + std::to_string(status));
    }
    AttemptReport report;
    report.sent = true;
    report.failedAnswer = WholeAnswer{ status, passableFields(fields), std::move(body) };
    report.end = status >= 500 ? AttemptEnd::Broken : AttemptEnd::Complete;
    if (status >= 500) {
        report.error
            = Error{ ErrorCode::UpstreamFailed, "upstream answered " + std::to_string(status), RunState::MayHaveRun, {} };
    }
    return report;
}

Task<AttemptReport> UpstreamAttempt::passStream(Parser &parser, const AttemptEvents &events)
{
    const http::fields &fields = parser.get();
    if (!isSigned(fields, names_) || !fields[http::field::content_encoding].empty()) {
        co_return failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "answer is not the upstream's own");
    }
    NetError error;
    bool first = true;
    while (!parser.is_done()) {
        co_await http::async_read_some(connection_->socket, connection_->buffer, parser, awaitingInto(error));
        const std::string bytes = std::move(parser.get().body());
        parser.get().body().clear();
        if (first && !bytes.empty()) {
            first = false;
            events.firstEvent();
        }
        events.heard();
        const bool taken = co_await passEvents(parser, bytes, events);
        if (!taken) {
            co_return failure(AttemptEnd::ReceiverGone, ErrorCode::Cancelled, "caller left");
        }
        if (error) {
            progress_.events.dropPartial();
            co_return brokenConnection("stream broke off: " + error.message());
        }
    }
    if (!progress_.events.partial().empty()) {
        progress_.events.dropPartial();
        co_return failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "stream ended within an event");
    }
    const std::string_view unfinished = remote_ ? viewOf(fields[continueAtHeader]) : std::string_view{};
    if (!unfinished.empty()) {
        AttemptReport report = failure(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "the daemon that was asked ends");
        report.continuation = decodeContinuation(unfinished);
        co_return report;
    }
    AttemptReport report;
    report.sent = true;
    co_return report;
}

/// Hands whole events to the caller; the head goes out with the first.
Task<bool> UpstreamAttempt::passEvents(Parser &parser, std::string_view bytes, const AttemptEvents &events)
{
    const std::string whole = progress_.events.take(bytes);
    if (!whole.empty()) {
        events.streamed(EventSplitter::count(whole));
    }
    const bool due = !whole.empty() || parser.is_done();
    if (due && !progress_.begun) {
        progress_.begun = true;
        http::fields fields = passableFields(parser.get());
        if (toldSends_) {
            fields.set(relaySendsHeader, std::to_string(*toldSends_));
        }
        const bool begun = co_await writer_.begin(parser.get().result_int(), std::move(fields));
        if (!begun) {
            co_return false;
        }
    }
    if (whole.empty()) {
        co_return true;
    }
    co_return co_await writer_.piece(whole);
}

/// Notes whether the connection can serve another request.
void UpstreamAttempt::settle(Parser &parser, bool whole)
{
    reusable_ = whole && parser.is_done() && parser.keep_alive() && !parser.need_eof() && connection_->buffer.size() == 0;
    if (reusable_) {
        connection_->usableUntil = BootClock::now() + keepTime(parser.get());
    }
}

} // namespace Portpaddle
