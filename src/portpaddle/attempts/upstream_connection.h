// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Persistent connections to upstreams and to other daemons.
#pragma once

#include "portpaddle/net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// How long an idle connection is kept if the upstream does not say; the shortest idle timeouts of common servers are 5 s.
inline constexpr std::chrono::milliseconds defaultKeep{ 4'000 };

/// Maximum number of unparsed bytes of one answer in the buffer.
inline constexpr std::size_t maxUnparsedBytes = 128 * 1024;

/// One connection; it serves one request at a time.
struct UpstreamConnection
{
    explicit UpstreamConnection(Executor executor);
    /// Closes the connection; pending operations on it fail.
    void interrupt();
    /// Returns false if the connection is closed or has failed, or if unexpected bytes have arrived on it.
    bool looksUsable();
    /// Records that a call on the connection has failed, unless @p error is none.
    void noteError(const NetError &error);
    /// Whether any call on the connection has failed.
    bool hasFailed() const;

    Socket socket;
    boost::beast::flat_buffer buffer{ maxUnparsedBytes };
    /// The peer may close the connection after this time.
    SteadyTime usableUntil{};
    /// The connection has served a request before.
    bool reused = false;

private:
    bool failed_ = false;
};

/// Closes a connection after a time, unless this object is destroyed before.
class ConnectionTimeout
{
public:
    ConnectionTimeout(UpstreamConnection &connection, std::chrono::milliseconds time);
    ~ConnectionTimeout();
    ConnectionTimeout(const ConnectionTimeout &) = delete;
    ConnectionTimeout &operator=(const ConnectionTimeout &) = delete;

private:
    SteadyTimer timer_;
    std::shared_ptr<UpstreamConnection *> connection_;
};

/// Keeps connections by peer; the most recently used one is reused first. Belongs to one event loop.
class ConnectionPool
{
public:
    explicit ConnectionPool(Executor executor);

    /// Returns an idle connection that still looks usable; null if there is none.
    std::unique_ptr<UpstreamConnection> takeIdle(const std::string &peer, SteadyTime now);
    /// Connects to @p address (IP:PORT) within @p timeout; returns null with @p error set on failure. While the connection is
    /// being opened, @p opening points to it, so that others can interrupt it.
    Task<std::unique_ptr<UpstreamConnection>> connect(const std::string &peer, const std::string &address,
                                                      std::chrono::milliseconds timeout, UpstreamConnection **opening,
                                                      NetError &error);
    void keep(const std::string &peer, std::unique_ptr<UpstreamConnection> connection);
    /// Records that a connection from takeIdle() or connect() was closed.
    void ended(const std::string &peer);
    /// Returns the number of connections to @p peer, including idle ones.
    std::size_t open(const std::string &peer) const;
    std::size_t idle(const std::string &peer) const;
    /// Closes idle connections that have expired or no longer look usable.
    void sweep(SteadyTime now);
    /// Closes the idle connections of a peer that is gone.
    void drop(const std::string &peer);

private:
    struct Peer
    {
        std::deque<std::unique_ptr<UpstreamConnection>> idle;
        std::size_t open = 0;
    };

    Executor executor_;
    std::unordered_map<std::string, Peer> peers_;
};

} // namespace Portpaddle
