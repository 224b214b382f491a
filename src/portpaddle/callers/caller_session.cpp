// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/callers/caller_session.h"

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/base/scope_exit.h"
#include "portpaddle/callers/connection_headers.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/body_framing.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/net/socket_options.h"
#include "portpaddle/net/spawn.h"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readAheadStep = 2 * 1024;
// Calls of closeIfIdle() until a connection without a first request is closed; a stopping daemon calls once a tick.
constexpr unsigned maxSparedCalls = 3;

unsigned statusOfReadError(NetError error)
{
    if (error == http::error::body_limit) {
        return HttpStatus::tooLarge;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return HttpStatus::headerTooLarge;
    }
    return HttpStatus::badRequest;
}

/// Returns the number in a header that another daemon set, clamped to @p maxValue; zero if the header is absent.
std::int64_t relayedNumber(const HttpRequest &message, const char *header, std::int64_t maxValue)
{
    const auto text = message[header];
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return std::clamp<std::int64_t>(number, 0, maxValue);
}

std::chrono::milliseconds relayedAge(const HttpRequest &message)
{
    constexpr std::int64_t maxAgeMs = 60'000;
    return std::chrono::milliseconds(relayedNumber(message, relayAgeHeader, maxAgeMs));
}

/// Returns the memory that a request takes for its head beyond an ordinary one.
std::size_t memoryOfHead(const http::fields &head)
{
    std::size_t bytes = 0;
    for (const auto &field : head) {
        bytes += PeerBounds::fieldOverheadBytes + field.name_string().size() + field.value().size();
    }
    const std::size_t all = PeerBounds::headCopies * bytes;
    return all - std::min(all, PeerBounds::ordinaryHeadBytes);
}

bool isProtocolError(NetError error)
{
    return error.category() == http::make_error_code(http::error::bad_version).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

} // namespace

bool RequestHandler::closing() const
{
    return false;
}

MemoryBudget *RequestHandler::bodyMemory()
{
    return nullptr;
}

Metrics *RequestHandler::metrics()
{
    return nullptr;
}

std::string_view nameOf(SessionPeer peer)
{
    return peer == SessionPeer::Daemon ? "daemon" : "caller";
}

CallerSession::CallerSession(Socket socket, SessionPeer peer, RequestHandler &handler)
    : socket_(std::move(socket))
    , peer_(peer)
    , handler_(handler)
    , timer_(socket_.get_executor())
    , watchEnded_(socket_.get_executor())
    , bodyShare_(handler.bodyMemory())
{
    applySocketOptions(socket_.native_handle());
}

void CallerSession::start()
{
    spawnTask(socket_.get_executor(), "caller_session", [self = shared_from_this()]() -> Task<void> { co_await self->run(); });
}

void CallerSession::closeIfIdle()
{
    const bool isSpared = !hasReceived_ && ++closeCalls_ <= maxSparedCalls;
    if (!isSpared) {
        endWait();
    }
}

// The wait is cancelled instead of closing the socket, so that a request whose bytes have already arrived is served.
void CallerSession::endWait()
{
    if (awaitingRequest_) {
        NetError ignored;
        socket_.cancel(ignored);
    }
}

void CallerSession::close()
{
    NetError ignored;
    socket_.close(ignored);
}

bool CallerSession::isOpen() const
{
    return socket_.is_open();
}

void CallerSession::armTimer(std::chrono::milliseconds time, void (CallerSession::*action)())
{
    const unsigned generation = ++timerGeneration_;
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this(), generation, action](NetError error) {
        if (!error && generation == self->timerGeneration_) {
            (self.get()->*action)();
        }
    });
}

void CallerSession::disarmTimer()
{
    ++timerGeneration_;
    timer_.cancel();
}

// A peer that stops reading would otherwise hold its answer, its request and a connection to an upstream for ever.
void CallerSession::armWriteTimer()
{
    armTimer(handler_.limits().idleTimeout, &CallerSession::closeTimedOut);
}

void CallerSession::closeTimedOut()
{
    logEvent(LogEvent::SessionTimedOut,
             { { "request", requestId_ },
               { "peer", std::string(nameOf(peer_)) },
               { "message", serving_ ? "the peer does not read the answer" : "the request does not arrive" } });
    close();
}

Task<void> CallerSession::run()
{
    const ScopeExit closing([this] {
        disarmTimer();
        close();
    });
    while (keepOpen_ && socket_.is_open()) {
        Parser parser;
        CallerWriter answer(*this);
        const bool whole = co_await readRequest(parser, answer);
        if (!whole) {
            break;
        }
        co_await serve(parser.release(), answer);
        endUnanswered(answer);
        // The head of a stream may have announced, before a stop began, that the connection stays open. After a whole answer that
        // announced it, the next request may be on its way.
        const bool wasStream = framing_ == BodyFraming::Chunks;
        keepOpen_ = keepOpen_ && !(wasStream && handler_.closing());
    }
}

Task<bool> CallerSession::awaitRequest()
{
    NetError error;
    armTimer(handler_.limits().idleTimeout, &CallerSession::endWait);
    awaitingRequest_ = true;
    std::size_t got = co_await socket_.async_read_some(buffer_.prepare(readAheadStep), awaitingInto(error));
    awaitingRequest_ = false;
    if (error == boost::asio::error::operation_aborted && socket_.is_open()) {
        // The loop may not have seen yet what arrived before the wait ended.
        socket_.non_blocking(true, error);
        got = socket_.read_some(buffer_.prepare(readAheadStep), error);
    }
    buffer_.commit(error ? 0 : got);
    hasReceived_ = true;
    co_return !error;
}

/// Waits for the first byte with the idle timeout, for the head with the header timeout, and for the body with the idle timeout.
Task<bool> CallerSession::readRequest(Parser &parser, CallerWriter &answer)
{
    NetError error;
    if (buffer_.size() == 0) {
        const bool arrives = co_await awaitRequest();
        if (!arrives) {
            co_return false;
        }
    }
    // A connection may have been idle over a change of the configuration.
    const CallerLimits limits = handler_.limits();
    parser.header_limit(headLimit(limits));
    boundUnparsed(headLimit(limits));
    parser.body_limit(limits.bodyBytes);
    requestStarted_ = BootClock::now();
    requestId_.clear();
    armTimer(limits.headerTimeout, &CallerSession::closeTimedOut);
    co_await http::async_read_header(socket_, buffer_, parser, awaitingInto(error));
    noteRequestLine(parser);
    error = error ? error : checkBodyFraming(parser.get());
    if (error) {
        co_await reject(error, answer);
        co_return false;
    }
    if (!bodyShare_.growTo(memoryOfHead(parser.get()))) {
        co_await refuseForMemory(answer);
        co_return false;
    }
    if (!parser.is_done()) {
        armTimer(limits.idleTimeout, &CallerSession::closeTimedOut);
        const bool whole = co_await readBody(parser, answer);
        if (!whole) {
            co_return false;
        }
    }
    disarmTimer();
    co_return true;
}

std::uint32_t CallerSession::headLimit(const CallerLimits &limits) const
{
    return peer_ == SessionPeer::Daemon ? greatestRelayedHead(limits.headerBytes) : limits.headerBytes;
}

// A buffer with more bytes than its bound would throw in a step of a read.
void CallerSession::boundUnparsed(std::uint32_t headBytes)
{
    const std::size_t longest = std::max<std::size_t>(headBytes, PeerBounds::callerReadAheadBytes);
    buffer_.max_size(std::max(buffer_.size(), longest + PeerBounds::chunkLineBytes));
}

void CallerSession::noteRequestLine(const Parser &parser)
{
    constexpr std::string_view headStart = "HEAD ";
    const std::string_view unparsed(static_cast<const char *>(buffer_.data().data()), buffer_.size());
    const bool isParsed = !parser.get().method_string().empty();
    requestLine_ = { parser.get().method(), parser.get().version() };
    requestId_ = viewOf(parser.get()[handler_.names().requestId]);
    if (!isParsed && unparsed.starts_with(headStart)) {
        requestLine_.method = http::verb::head;
    }
}

Task<bool> CallerSession::readBody(Parser &parser, CallerWriter &answer)
{
    NetError error;
    const boost::optional<std::uint64_t> announced = parser.content_length();
    const std::size_t headBytes = memoryOfHead(parser.get());
    bool fits = !announced || bodyShare_.growTo(headBytes + static_cast<std::size_t>(*announced));
    // Only received bytes count, so that a few callers that announce long bodies cannot take all memory.
    bodyShare_.release();
    fits = fits && bodyShare_.growTo(headBytes);
    if (!fits) {
        co_await refuseForMemory(answer);
        co_return false;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const bool asked = co_await answer.askForBody();
        if (!asked) {
            co_return false;
        }
    }
    // The parser adds the fields of a trailer to the headers, which are forwarded and decide about the request.
    const std::optional<http::fields> head = parser.chunked() ? std::optional<http::fields>(parser.get()) : std::nullopt;
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(socket_, buffer_, parser, awaitingInto(error));
        if (!error && !bodyShare_.growTo(headBytes + parser.get().body().size())) {
            co_await refuseForMemory(answer);
            co_return false;
        }
    }
    if (error) {
        co_await reject(error, answer);
        co_return false;
    }
    if (head) {
        static_cast<http::fields &>(parser.get()) = *head;
    }
    co_return true;
}

Task<void> CallerSession::refuseForMemory(CallerWriter &answer)
{
    keepOpen_ = false;
    WholeAnswer refusal;
    refusal.status = HttpStatus::unavailable;
    noteRejected(refusal.status, "no memory for the request");
    refusal.fields.set(http::field::retry_after, "1");
    refusal.fields.set(handler_.names().requestId, requestId_);
    co_await answer.whole(std::move(refusal));
}

void CallerSession::noteRejected(unsigned status, const std::string &reason)
{
    logEvent(LogEvent::SessionRejected,
             { { "request", requestId_ },
               { "peer", std::string(nameOf(peer_)) },
               { "status", std::to_string(status) },
               { "message", reason } });
    if (Metrics *metrics = handler_.metrics()) {
        metrics->count(Counter::SessionsRejected);
    }
}

/// Answers a peer that broke the protocol or a bound with the reason; the connection closes afterwards.
Task<void> CallerSession::reject(NetError error, CallerWriter &answer)
{
    keepOpen_ = false;
    if (!isProtocolError(error)) {
        co_return;
    }
    WholeAnswer refusal;
    refusal.status = statusOfReadError(error);
    noteRejected(refusal.status, error.message());
    refusal.body = error.message() + "\n";
    if (!requestId_.empty()) {
        refusal.fields.set(handler_.names().requestId, requestId_);
    }
    refusal.fields.set(http::field::content_type, "text/plain");
    co_await answer.whole(std::move(refusal));
}

Task<void> CallerSession::serve(HttpRequest message, CallerWriter &answer)
{
    keepOpen_ = message.keep_alive();
    serving_ = true;
    CallerRequest request = decodeRequest(std::move(message), handler_.names(), requestStarted_);
    request.relayed = peer_ == SessionPeer::Daemon;
    if (request.relayed) {
        request.arrivedAt -= relayedAge(request.message);
        request.earlierSends = static_cast<unsigned>(relayedNumber(request.message, relaySendsHeader, maxReportedSends));
        request.ranAt = decodeUpstreamKeys(viewOf(request.message[ranAtHeader]));
        request.eventsSeen = static_cast<std::size_t>(relayedNumber(request.message, relayEventsHeader, maxReportedEvents));
        const auto organisation = request.message[relayOrganisationHeader];
        request.organisation.assign(organisation.data(), organisation.size());
        request.acceptedUnder = decodeConfigurationStamp(viewOf(request.message[configurationHeader]));
        request.streamVersion = decodeVersionKey(viewOf(request.message[streamVersionHeader]));
        request.senderCanContinue = !request.message[continuesHeader].empty();
        const auto continuation = request.message[continueAtHeader];
        request.continuation = decodeContinuation({ continuation.data(), continuation.size() });
    }
    watchCaller();
    co_await handler_.serve(std::move(request), answer, onAbandoned_);
    onAbandoned_ = nullptr;
    co_await stopWatching();
    bodyShare_.release();
    serving_ = false;
}

void CallerSession::endUnanswered(CallerWriter &answer)
{
    if (answer.state() == AnswerState::Ended) {
        return;
    }
    logEvent(LogEvent::RequestFailed,
             { { "request", requestId_ }, { "message", "served without a complete answer: its connection is closed" } });
    answer.abort();
}

/// Reads ahead while a request is served; the end or a reset of the connection means that the caller left.
void CallerSession::watchCaller()
{
    if (!socket_.is_open() || buffer_.size() >= PeerBounds::callerReadAheadBytes) {
        return;
    }
    watching_ = true;
    socket_.async_read_some(buffer_.prepare(readAheadStep), [self = shared_from_this()](NetError error, std::size_t got) {
        self->watching_ = false;
        if (!error) {
            self->buffer_.commit(got);
            if (self->serving_ && self->watchEnded_.expiry() != SteadyTime::max()) {
                self->watchCaller();
            }
        } else if (error != boost::asio::error::operation_aborted) {
            runGuarded("caller_left", [&self] { self->callerLeft(); });
        }
        self->watchEnded_.cancel();
    });
}

Task<void> CallerSession::stopWatching()
{
    if (!watching_) {
        co_return;
    }
    watchEnded_.expires_at(SteadyTime::max());
    NetError ignored;
    socket_.cancel(ignored);
    co_await watchEnded_.async_wait(awaitingInto(ignored));
    watchEnded_.expires_at(SteadyTime{});
}

void CallerSession::callerLeft()
{
    keepOpen_ = false;
    if (onAbandoned_) {
        const std::function<void()> onAbandoned = std::move(onAbandoned_);
        onAbandoned_ = nullptr;
        onAbandoned();
    }
}

} // namespace Portpaddle
