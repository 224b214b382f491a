// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Runs a daemon on its event loop: listeners for callers, daemons and the platform's queries, load digests, housekeeping and
/// the graceful stop.
#pragma once

#include "portpaddle/callers/session_listener.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/placement/round_robin_cursor.h"

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace Portpaddle {

/// Interval at which a daemon of a fleet without aggregators sends digests to other regions.
inline constexpr std::chrono::milliseconds remoteDigestInterval{ 300 };
/// Returns to how many of the @p daemons of other regions it sends them each time, in turn.
std::size_t remotePeersPerRound(std::size_t daemons);

/// The addresses of a daemon, and the times of its graceful stop, which count from the order to stop.
struct GatewayServerConfig
{
    std::string entryAddress;
    /// Address for other daemons, by TCP and UDP.
    std::string linkAddress;
    std::size_t maxCallerSessions = 2'000;
    std::size_t maxDaemonSessions = 1'000;
    /// For each additional address.
    std::size_t maxSessionsBeside = 250;
    /// Callers are accepted for at least this long, and longer while no other daemon of the region serves.
    std::chrono::milliseconds acceptWhileStopping{ 1'300 };
    /// After this, only requests are accepted whose deadline lies before the end of the stop. Requests accepted earlier on their
    /// prediction have most of the stop left, also if they take longer than predicted.
    std::chrono::milliseconds acceptLikelyWhileStopping{ 2'600 };
    /// No caller is accepted from this long before the end of the stop.
    std::chrono::milliseconds closeBeforeEnd{ 800 };
    /// Requests of which no answer has begun are answered this long before the end of the stop, whether they may have run.
    std::chrono::milliseconds answerBeforeEnd{ 200 };
    /// The duration of the stop; answers still in progress are cut off then.
    std::chrono::milliseconds stopBound{ 7'500 };
};

/// Belongs to the thread that runs the event loop.
class GatewayServer
{
public:
    GatewayServer(boost::asio::io_context &loop, Gateway &gateway, GatewayServerConfig config);

    Status start();
    /// Serves an additional address, for example for readiness checks, with its own handler.
    Status serveBeside(const std::string &address, RequestHandler &handler);
    /// Completes the requests in progress, then stops the loop. Must be called on the loop.
    void stopGracefully();
    /// Sets a hook that is called on the loop at each tick, several times a second.
    void onTick(std::function<void()> hook);

private:
    using DatagramSocket = boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

    void scheduleTick();
    /// Returns for how long the loop was blocked during the last two tick intervals.
    SteadyTime::duration lag(SteadyTime now) const;
    void tick();
    void continueStopping(SteadyTime now);
    Status openDatagrams();
    void receiveDatagram();
    /// Takes the digest in the first @p size bytes that were received, if they are one.
    void applyDatagram(std::size_t size);
    void announceLoad();
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
    std::vector<std::unique_ptr<SessionListener>> extraListeners_;
    DatagramSocket datagrams_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<std::uint8_t, 2'048> receiveBuffer_{};
    SteadyTimer ticks_;
    std::function<void()> tickHook_;
    std::optional<SteadyTime> stoppingSince_;
    bool answeredUnfinished_ = false;
    std::size_t tickNumber_ = 0;
    SteadyTime lastTickAt_ = BootClock::now();
    SteadyTime previousTickAt_ = lastTickAt_;
    RoundRobinCursor remoteCursor_;
    std::size_t nextLocalPeer_ = 0;
};

} // namespace Portpaddle
