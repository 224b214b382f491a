// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// One connection of a caller or of another daemon: reads requests, writes answers, notices when the peer leaves.
#pragma once

#include "portpaddle/gateway/caller_request.h"
#include "portpaddle/gateway/caller_writer.h"
#include "portpaddle/gateway/service_map.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>

namespace Portpaddle {

/// Serves the requests that a session has read.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /// Answers @p request through @p writer. @p abandoned is called once if the caller leaves before the end.
    virtual Task<void> serve(CallerRequest request, CallerWriter &writer, std::function<void()> &abandoned) = 0;
    virtual CallerLimits limits() const = 0;
    virtual const HeaderNames &names() const = 0;
    /// No further request shall follow on a connection.
    virtual bool closing() const;
    /// Bytes of request bodies held; false when no more may be held. Without a bound unless a handler sets one.
    virtual bool reserveBody(std::size_t bytes);
    virtual void releaseBody(std::size_t bytes);
};

/// Who is at the other end.
enum class SessionPeer { Caller, Daemon };

/// Keeps itself alive until its connection ends.
class CallerSession : public CallerWriter, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(Socket socket, SessionPeer peer, RequestHandler &handler);

    void start();
    /// Ends the connection if nothing of a request has arrived.
    void closeIfIdle();
    void close();
    bool isOpen() const;

    Task<bool> whole(WholeAnswer answer) override;
    Task<bool> begin(unsigned status, boost::beast::http::fields fields) override;
    Task<bool> piece(std::string_view bytes) override;
    Task<bool> end() override;
    Task<bool> endWith(const char *name, const std::string &value) override;
    void abort() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Task<void> run();
    Task<bool> readRequest(Parser &parser);
    Task<bool> readBody(Parser &parser);
    Task<void> serve(HttpRequest message);
    Task<void> reject(NetError error);
    void watchCaller();
    Task<void> stopWatching();
    void callerLeft();
    /// Arms the one timer; an earlier arming is void.
    void after(std::chrono::milliseconds time, void (CallerSession::*action)());

    Socket socket_;
    SessionPeer peer_;
    RequestHandler &handler_;
    boost::beast::flat_buffer buffer_;
    SteadyTimer timer_;
    SteadyTimer watchEnded_;
    SteadyTime requestStarted_;
    std::function<void()> abandoned_;
    bool serving_ = false;
    /// Nothing of a next request has arrived.
    bool awaitingRequest_ = false;
    bool watching_ = false;
    bool keepOpen_ = true;
    bool headOnly_ = false;
    /// Which arming of the timer is valid; earlier ones that fire late do nothing.
    unsigned timerRound_ = 0;
};

} // namespace Portpaddle
