// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Kept connections to upstreams and to other daemons.
#pragma once

#include "portpaddle/net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// How long a connection is kept where the upstream does not say; the shortest idle bounds of common servers are 5 s.
inline constexpr std::chrono::milliseconds defaultKeep{ 4'000 };

/// Bytes of one answer that may be buffered unparsed.
inline constexpr std::size_t maxUnparsedBytes = 128 * 1024;

/// One connection; it serves one request at a time.
struct UpstreamConnection
{
    explicit UpstreamConnection(Executor executor);
    /// Ends the connection; whatever waits on it fails.
    void interrupt();
    /// False if the peer closed it or sent bytes that nobody asked for.
    bool quiet();

    Socket socket;
    boost::beast::flat_buffer buffer{ maxUnparsedBytes };
    /// The peer may close it after this.
    SteadyTime usableUntil{};
    /// It has served a request before.
    bool reused = false;
};

/// Connections by peer, the last used first. Belongs to one event loop.
class ConnectionPool
{
public:
    explicit ConnectionPool(Executor executor);

    /// A kept connection that still looks usable; null when there is none.
    std::unique_ptr<UpstreamConnection> takeIdle(const std::string &peer, SteadyTime now);
    /// Connects to @p address (IP:PORT) within @p timeout; null with @p error set when that fails. @p opening lets others
    /// interrupt.
    Task<std::unique_ptr<UpstreamConnection>> connect(const std::string &peer, const std::string &address,
                                                      std::chrono::milliseconds timeout, UpstreamConnection **opening,
                                                      NetError &error);
    void keep(const std::string &peer, std::unique_ptr<UpstreamConnection> connection);
    /// A connection taken or opened earlier is gone.
    void ended(const std::string &peer);
    /// Connections of @p peer, idle ones included.
    std::size_t open(const std::string &peer) const;
    std::size_t idle(const std::string &peer) const;
    /// Closes idle connections that ran out of time.
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
