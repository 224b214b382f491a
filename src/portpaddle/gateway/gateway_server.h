// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The event loop of a daemon: listeners for callers, daemons and the platform's questions, load digests, housekeeping, stopping.
#pragma once

#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/round_robin_cursor.h"
#include "portpaddle/gateway/session_listener.h"

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace Portpaddle {

/// Where a daemon listens, and how it stops.
struct GatewayServerConfig
{
    std::string entryAddress;
    /// Daemons reach each other here, by TCP and UDP.
    std::string linkAddress;
    std::size_t maxSessions = 2'000;
    /// From the order to stop: callers are taken until then, or for as long as no other daemon of the region serves,
    std::chrono::milliseconds acceptWhileStopping{ 1'300 };
    /// after this only requests that surely end in time: a stream that proves longer than predicted has had most of the stop,
    std::chrono::milliseconds likelyWhileStopping{ 2'600 };
    /// and none this long before the end.
    std::chrono::milliseconds closeBeforeEnd{ 800 };
    /// and everything ends then.
    std::chrono::milliseconds stopBound{ 7'500 };
};

/// Runs on the thread that calls run().
class GatewayServer
{
public:
    GatewayServer(boost::asio::io_context &loop, Gateway &gateway, GatewayServerConfig config);

    Status start();
    /// Serves further questions beside the callers', for example readiness.
    Status serveBeside(const std::string &address, RequestHandler &handler);
    /// Finishes what is in progress, then stops the loop. Call on the loop.
    void stopGracefully();
    /// Called on the loop several times a second.
    void onTick(std::function<void()> hook);

private:
    using DatagramSocket = boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

    void scheduleTick();
    /// How long the loop has stood still within its last two ticks.
    SteadyTime::duration lag(SteadyTime now) const;
    void tick();
    void continueStopping(SteadyTime now);
    Status openDatagrams();
    void receiveDatagram();
    void tellLoad();
    void sendLocalDigests(const std::vector<const DaemonRecord *> &daemons);
    void sendRemoteDigests(const std::vector<const DaemonRecord *> &daemons);
    std::vector<std::vector<std::uint8_t>> encodedDigests(DigestReach reach);
    void sendDigests();
    void send(const std::vector<OutgoingDigest> &digests);
    void sendTo(const std::string &address, const std::vector<std::vector<std::uint8_t>> &datagrams);

    boost::asio::io_context &loop_;
    Gateway &gateway_;
    GatewayServerConfig config_;
    SessionListener callers_;
    SessionListener daemons_;
    std::vector<std::unique_ptr<SessionListener>> beside_;
    DatagramSocket datagrams_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<std::uint8_t, 2'048> received_{};
    SteadyTimer ticks_;
    std::function<void()> hook_;
    std::optional<SteadyTime> stoppingSince_;
    std::size_t tickNumber_ = 0;
    SteadyTime lastTickAt_ = BootClock::now();
    SteadyTime previousTickAt_ = lastTickAt_;
    RoundRobinCursor remoteTurns_;
    std::size_t localTurn_ = 0;
};

} // namespace Portpaddle
