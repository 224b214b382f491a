// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Serves one connection of a caller or of another daemon: reads requests, writes answers, detects that the peer left.
#pragma once

#include "portpaddle/callers/caller_request.h"
#include "portpaddle/callers/caller_writer.h"
#include "portpaddle/net/answer_framing.h"
#include "portpaddle/net/received_body.h"
#include "portpaddle/store_following/service_map.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>

namespace Portpaddle {

class Metrics;

/// Serves the requests that a session has read.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /// Answers @p request through @p writer. @p abandoned is called once if the caller leaves before the end.
    virtual Task<void> serve(CallerRequest request, CallerWriter &writer, std::function<void()> &abandoned) = 0;
    virtual CallerLimits limits() const = 0;
    virtual const HeaderNames &names() const = 0;
    /// Whether connections are to close after the answer in progress.
    virtual bool closing() const;
    /// Returns the budget of the memory for request bodies; null, which is the default, if it is not bounded.
    virtual MemoryBudget *bodyMemory();
    /// Returns the metrics that count what is rejected; null, which is the default, if nothing counts it.
    virtual Metrics *metrics();
};

/// The kind of peer at the other end of a connection.
enum class SessionPeer { Caller, Daemon };

std::string_view nameOf(SessionPeer peer);

/// A connection's session; it keeps itself alive until the connection ends.
class CallerSession : public CallerConnection, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(Socket socket, SessionPeer peer, RequestHandler &handler);

    void start();
    /// Closes the connection if no byte of a next request has arrived. A peer that has just connected is about to send its first
    /// request, so that its connection is closed only at one of the next calls.
    void closeIfIdle();
    void close();
    bool isOpen() const;

private:
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    const std::string &requestId() const override;
    Task<bool> sendContinue() override;
    Task<bool> sendWhole(WholeAnswer answer) override;
    Task<bool> sendHead(unsigned status, boost::beast::http::fields fields) override;
    Task<bool> sendChunk(std::string_view bytes) override;
    Task<bool> sendEnd() override;
    Task<bool> sendEndWithTrailer(const char *name, const std::string &value) override;
    void abandon() override;

    Task<void> run();
    /// Ends the wait for the first byte of a request.
    void endWait();
    /// Waits for bytes of a next request; returns false if the connection ends without one.
    Task<bool> awaitRequest();
    /// Reads a request whose answer, if it is rejected, goes to @p answer; returns false if there is none to serve.
    Task<bool> readRequest(Parser &parser, CallerWriter &answer);
    Task<bool> readBody(Parser &parser, CallerWriter &answer);
    Task<void> serve(HttpRequest message, CallerWriter &answer);
    /// Returns the maximum size in bytes of a request's head.
    std::uint32_t headLimit(const CallerLimits &limits) const;
    /// Bounds the bytes that are held before they are parsed.
    void boundUnparsed(std::uint32_t headBytes);
    /// Closes the connection if the request that was served has no complete answer.
    void endUnanswered(CallerWriter &answer);
    /// Takes the id and the facts that decide how the answer is framed, also from a request that breaks the protocol or a bound.
    void noteRequestLine(const Parser &parser);
    Task<void> reject(NetError error, CallerWriter &answer);
    /// Answers a request for whose body there is no memory; the request has not run.
    Task<void> refuseForMemory(CallerWriter &answer);
    void noteRejected(unsigned status, const std::string &reason);
    void watchCaller();
    Task<void> stopWatching();
    void callerLeft();
    /// Writes @p buffers completely; returns false if the peer is gone.
    template<typename Buffers>
    Task<bool> write(const Buffers &buffers);
    /// Sets whether closing the connection resets it, so that a body that ends with the connection cannot look complete.
    void setResetOnClose(bool on);
    /// Closes the connection of a peer that was too slow, and logs the request that this ends.
    void closeTimedOut();
    /// Calls @p action after @p time; replaces an action that is still due.
    void armTimer(std::chrono::milliseconds time, void (CallerSession::*action)());
    void disarmTimer();
    /// Closes the connection if the peer takes nothing of what is written next for as long as a connection may be idle.
    void armWriteTimer();

    Socket socket_;
    SessionPeer peer_;
    RequestHandler &handler_;
    boost::beast::flat_buffer buffer_;
    SteadyTimer timer_;
    SteadyTimer watchEnded_;
    SteadyTime requestStarted_;
    std::function<void()> onAbandoned_;
    /// The body of the request that is read or served.
    MemoryShare bodyShare_;
    bool serving_ = false;
    /// The session waits for the first byte of a request.
    bool awaitingRequest_ = false;
    bool hasReceived_ = false;
    /// How often a connection on which nothing was received was to be closed.
    unsigned closeCalls_ = 0;
    bool watching_ = false;
    bool keepOpen_ = true;
    /// The request that is read or served.
    RequestLine requestLine_;
    /// Its id; empty before its head is read.
    std::string requestId_;
    /// The framing of the answer in progress.
    BodyFraming framing_ = BodyFraming::None;
    /// Identifies the latest action of the timer; earlier actions that fire late do nothing.
    unsigned timerGeneration_ = 0;
};

} // namespace Portpaddle
