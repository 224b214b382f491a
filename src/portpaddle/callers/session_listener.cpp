// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/callers/session_listener.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/spawn.h"

namespace Portpaddle {

namespace {

// Several hundred callers may connect during one scheduling pause of a small VM.
constexpr int backlog = 1024;
// When the process runs out of descriptors, accepting again at once would only spin.
constexpr std::chrono::milliseconds acceptRetryDelay{ 20 };

Error listenError(const std::string &address, const NetError &error)
{
    return Error{ ErrorCode::Internal, "cannot listen on " + address + ": " + error.message(), RunState::NotRun, {} };
}

} // namespace

SessionListener::SessionListener(Executor executor, SessionPeer peer, RequestHandler &handler, std::size_t maxSessions)
    : executor_(executor), peer_(peer), handler_(handler), maxSessions_(maxSessions), acceptor_(executor), retryTimer_(executor)
{
}

Status SessionListener::listen(const std::string &address)
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint) {
        return listenError(address, boost::asio::error::invalid_argument);
    }
    NetError error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(*endpoint, error);
    }
    if (!error) {
        acceptor_.listen(backlog, error);
    }
    if (error) {
        return listenError(address, error);
    }
    acceptNext();
    return success();
}

std::string SessionListener::address() const
{
    NetError error;
    const boost::asio::ip::tcp::endpoint endpoint = acceptor_.local_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void SessionListener::acceptNext()
{
    acceptor_.async_accept([this](NetError error, Socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error && !acceptor_.is_open()) {
            return;
        }
        if (error) {
            retryTimer_.expires_after(acceptRetryDelay);
            retryTimer_.async_wait([this](NetError cancelled) {
                if (!cancelled && acceptor_.is_open()) {
                    acceptNext();
                }
            });
            return;
        }
        runGuarded("accept", [this, &socket] { take(std::move(socket)); });
        if (acceptor_.is_open()) {
            acceptNext();
        }
    });
}

// A connection beyond the bound is closed at once, so that its caller tries another daemon.
void SessionListener::take(Socket socket)
{
    if (sessions_.size() >= maxSessions_ && open() >= maxSessions_) {
        noteRefused();
        return;
    }
    const auto session = std::make_shared<CallerSession>(std::move(socket), peer_, handler_);
    sessions_.push_back(session);
    session->start();
}

void SessionListener::noteRefused()
{
    logEvent(LogEvent::ConnectionRefused, { { "address", address() }, { "peer", std::string(nameOf(peer_)) } });
    if (Metrics *metrics = handler_.metrics()) {
        metrics->count(Counter::ConnectionsRefused);
    }
}

// Closing the listener would reset connections whose callers have sent their requests already.
void SessionListener::takeWaiting()
{
    NetError error;
    acceptor_.non_blocking(true, error);
    for (int count = 0; !error && count < backlog; ++count) {
        Socket socket(executor_);
        acceptor_.accept(socket, error);
        if (!error) {
            runGuarded("accept", [this, &socket] { take(std::move(socket)); });
        }
    }
}

void SessionListener::stopAccepting()
{
    if (!acceptor_.is_open()) {
        return;
    }
    takeWaiting();
    NetError ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

void SessionListener::closeIdle()
{
    for (const std::weak_ptr<CallerSession> &entry : sessions_) {
        if (const std::shared_ptr<CallerSession> session = entry.lock()) {
            session->closeIfIdle();
        }
    }
}

void SessionListener::closeAll()
{
    for (const std::weak_ptr<CallerSession> &entry : sessions_) {
        if (const std::shared_ptr<CallerSession> session = entry.lock()) {
            session->close();
        }
    }
}

std::size_t SessionListener::open()
{
    sessions_.remove_if([](const std::weak_ptr<CallerSession> &entry) { return entry.expired(); });
    return sessions_.size();
}

} // namespace Portpaddle
