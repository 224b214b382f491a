// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/attempts/upstream_connection.h"

#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/socket_options.h"

#include <cerrno>
#include <sys/socket.h>

namespace Portpaddle {

UpstreamConnection::UpstreamConnection(Executor executor) : socket(executor)
{
}

void UpstreamConnection::interrupt()
{
    NetError ignored;
    socket.close(ignored);
    failed_ = true;
}

bool UpstreamConnection::looksUsable()
{
    if (failed_ || !socket.is_open() || buffer.size() != 0) {
        return false;
    }
    char byte = 0;
    const ssize_t got = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isQuiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    failed_ = failed_ || (got < 0 && !isQuiet);
    return isQuiet;
}

void UpstreamConnection::noteError(const NetError &error)
{
    failed_ = failed_ || error;
}

bool UpstreamConnection::hasFailed() const
{
    return failed_;
}

ConnectionTimeout::ConnectionTimeout(UpstreamConnection &connection, std::chrono::milliseconds time)
    : timer_(connection.socket.get_executor()), connection_(std::make_shared<UpstreamConnection *>(&connection))
{
    timer_.expires_after(time);
    timer_.async_wait([connection = connection_](NetError error) {
        if (!error && *connection != nullptr) {
            (*connection)->interrupt();
        }
    });
}

ConnectionTimeout::~ConnectionTimeout()
{
    *connection_ = nullptr;
    timer_.cancel();
}

ConnectionPool::ConnectionPool(Executor executor) : executor_(executor)
{
}

std::unique_ptr<UpstreamConnection> ConnectionPool::takeIdle(const std::string &peer, SteadyTime now)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return nullptr;
    }
    Peer &entry = found->second;
    while (!entry.idle.empty()) {
        std::unique_ptr<UpstreamConnection> connection = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (connection->usableUntil > now && connection->looksUsable()) {
            return connection;
        }
        --entry.open;
    }
    return nullptr;
}

Task<std::unique_ptr<UpstreamConnection>> ConnectionPool::connect(const std::string &peer, const std::string &address,
                                                                  std::chrono::milliseconds timeout, UpstreamConnection **opening,
                                                                  NetError &error)
{
    auto connection = std::make_unique<UpstreamConnection>(executor_);
    *opening = connection.get();
    ++peers_[peer].open;
    SteadyTimer timer(executor_);
    timer.expires_after(timeout);
    timer.async_wait([raw = connection.get()](NetError expired) {
        if (!expired) {
            raw->interrupt();
        }
    });
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (endpoint) {
        co_await connection->socket.async_connect(*endpoint, awaitingInto(error));
    } else {
        error = boost::asio::error::invalid_argument;
    }
    const bool inTime = timer.cancel() > 0;
    *opening = nullptr;
    // A timer handler that is already queued still holds the pointer, so it must run before the connection can be destroyed.
    if (!inTime) {
        co_await boost::asio::post(executor_, awaiting);
        error = error ? error : NetError(boost::asio::error::timed_out);
    }
    if (error) {
        ended(peer);
        co_return nullptr;
    }
    applySocketOptions(connection->socket.native_handle());
    co_return connection;
}

void ConnectionPool::keep(const std::string &peer, std::unique_ptr<UpstreamConnection> connection)
{
    connection->reused = true;
    peers_[peer].idle.push_back(std::move(connection));
}

void ConnectionPool::ended(const std::string &peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    if (--found->second.open == 0) {
        peers_.erase(found);
    }
}

std::size_t ConnectionPool::open(const std::string &peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.open;
}

std::size_t ConnectionPool::idle(const std::string &peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.idle.size();
}

void ConnectionPool::sweep(SteadyTime now)
{
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        std::deque<std::unique_ptr<UpstreamConnection>> &idle = entry->second.idle;
        while (!idle.empty() && (idle.front()->usableUntil <= now || !idle.front()->looksUsable())) {
            idle.pop_front();
            --entry->second.open;
        }
        entry = entry->second.open == 0 ? peers_.erase(entry) : std::next(entry);
    }
}

void ConnectionPool::drop(const std::string &peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    found->second.open -= found->second.idle.size();
    found->second.idle.clear();
    if (found->second.open == 0) {
        peers_.erase(found);
    }
}

} // namespace Portpaddle
