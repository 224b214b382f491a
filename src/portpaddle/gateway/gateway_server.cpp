// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/gateway_server.h"

#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

constexpr std::chrono::milliseconds tickInterval{ 100 };
// At each tick, at least this many daemons of this region are sent the load; if there are more, they take turns.
constexpr std::size_t minLocalPeersPerTick = 4;
// All daemons of this region are sent the load within this many ticks; an engine at its peak accepts about four long prompts in
// that time, so that many placements at most are based on older data.
constexpr std::size_t ticksPerLocalRound = 3;
// Daemons of other regions are sent the load less often: digests cost traffic between regions and only affect which requests
// are forwarded.
constexpr std::size_t ticksBetweenRemoteDigests = remoteDigestInterval / tickInterval;
constexpr std::size_t minRemotePeersPerRound = 3;
// Each daemon of another region gets a digest within this many rounds, also from a region of a single daemon: summaries count for
// 1.5 s only.
constexpr std::size_t maxRemoteRounds = 4;

boost::asio::ip::udp::endpoint datagramEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return { endpoint.address(), endpoint.port() };
}

} // namespace

std::size_t remotePeersPerRound(std::size_t daemons)
{
    const std::size_t perRound = (daemons + maxRemoteRounds - 1) / maxRemoteRounds;
    return std::min(daemons, std::max(minRemotePeersPerRound, perRound));
}

GatewayServer::GatewayServer(boost::asio::io_context &loop, Gateway &gateway, GatewayServerConfig config)
    : loop_(loop)
    , gateway_(gateway)
    , config_(std::move(config))
    , callers_(loop.get_executor(), SessionPeer::Caller, gateway, config_.maxCallerSessions)
    , daemons_(loop.get_executor(), SessionPeer::Daemon, gateway, config_.maxDaemonSessions)
    , datagrams_(loop.get_executor())
    , ticks_(loop.get_executor())
    , remoteCursor_(stableHash(gateway.identity().id))
{
    gateway_.setDigestSender([this](const OutgoingDigest &digest) { send({ digest }); });
}

Status GatewayServer::start()
{
    Status status = callers_.listen(config_.entryAddress);
    if (isOk(status)) {
        status = daemons_.listen(config_.linkAddress);
    }
    if (isOk(status)) {
        status = openDatagrams();
    }
    scheduleTick();
    return status;
}

Status GatewayServer::serveBeside(const std::string &address, RequestHandler &handler)
{
    extraListeners_.push_back(
        std::make_unique<SessionListener>(loop_.get_executor(), SessionPeer::Caller, handler, config_.maxSessionsBeside));
    return extraListeners_.back()->listen(address);
}

void GatewayServer::onTick(std::function<void()> hook)
{
    tickHook_ = std::move(hook);
}

void GatewayServer::stopGracefully()
{
    if (stoppingSince_) {
        return;
    }
    // The time of a stop counts from the order, which had to wait while the loop was blocked on a busy VM.
    const SteadyTime now = BootClock::now();
    stoppingSince_ = now - lag(now);
    gateway_.beginDrain({ *stoppingSince_ + config_.acceptLikelyWhileStopping, *stoppingSince_ + config_.stopBound });
}

SteadyTime::duration GatewayServer::lag(SteadyTime now) const
{
    using Duration = SteadyTime::duration;
    const auto excessOverInterval = [](Duration gap) { return std::max(Duration::zero(), gap - tickInterval); };
    return excessOverInterval(now - lastTickAt_) + excessOverInterval(lastTickAt_ - previousTickAt_);
}

void GatewayServer::scheduleTick()
{
    ticks_.expires_after(tickInterval);
    ticks_.async_wait([this](NetError error) {
        if (!error) {
            runGuarded("tick", [this] { tick(); });
            scheduleTick();
        }
    });
}

void GatewayServer::tick()
{
    const SteadyTime now = BootClock::now();
    ++tickNumber_;
    previousTickAt_ = std::exchange(lastTickAt_, now);
    gateway_.tick();
    announceLoad();
    if (tickHook_) {
        tickHook_();
    }
    if (stoppingSince_) {
        continueStopping(now);
    }
}

void GatewayServer::continueStopping(SteadyTime now)
{
    const auto since = now - *stoppingSince_;
    // The answers are written before the next tick, also if the loop was blocked until after the end.
    if (!answeredUnfinished_ && since >= config_.stopBound - config_.answerBeforeEnd) {
        answeredUnfinished_ = true;
        gateway_.answerUnfinished();
        return;
    }
    if (since >= config_.stopBound) {
        gateway_.logUnfinished();
        loop_.stop();
        return;
    }
    const bool needed = since < config_.stopBound - config_.closeBeforeEnd && !gateway_.othersServeRegion(now);
    if (since < config_.acceptWhileStopping || needed) {
        return;
    }
    gateway_.beginClosing();
    callers_.stopAccepting();
    callers_.closeIdle();
    daemons_.closeIdle();
    if (callers_.open() == 0 && gateway_.inProgress() == 0) {
        loop_.stop();
    }
}

Status GatewayServer::openDatagrams()
{
    const auto endpoint = parseEndpoint(config_.linkAddress);
    NetError error;
    datagrams_.open(boost::asio::ip::udp::v4(), error);
    if (!error && endpoint) {
        datagrams_.bind(datagramEndpoint(*endpoint), error);
    }
    if (error) {
        return Error{ ErrorCode::Internal,
                      "cannot receive datagrams on " + config_.linkAddress + ": " + error.message(),
                      RunState::NotRun,
                      {} };
    }
    datagrams_.non_blocking(true, error);
    receiveDatagram();
    return success();
}

void GatewayServer::receiveDatagram()
{
    datagrams_.async_receive_from(boost::asio::buffer(receiveBuffer_), sender_, [this](NetError error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            runGuarded("datagram", [this, size] { applyDatagram(size); });
        }
        receiveDatagram();
    });
}

void GatewayServer::applyDatagram(std::size_t size)
{
    const Result<Wire::LoadDigestT> digest = decodeDigest(std::span(receiveBuffer_.data(), size));
    if (isOk(digest)) {
        gateway_.applyDigest(valueOf(digest));
    }
}

void GatewayServer::announceLoad()
{
    const std::shared_ptr<const FleetView> view = gateway_.view();
    send(gateway_.dueCrashDigests());
    send(gateway_.dueLimitDigests());
    send(gateway_.dueRolloutDigests());
    if (usesAggregators(*view)) {
        sendDigests();
        return;
    }
    std::vector<const DaemonRecord *> local;
    std::vector<const DaemonRecord *> remote;
    for (const DaemonRecord &daemon : view->daemons) {
        if (daemon.id == gateway_.identity().id) {
            continue;
        }
        (daemon.region == gateway_.identity().region ? local : remote).push_back(&daemon);
    }
    sendLocalDigests(local);
    if (tickNumber_ % ticksBetweenRemoteDigests == 0) {
        sendRemoteDigests(remote);
    }
}

void GatewayServer::sendLocalDigests(const std::vector<const DaemonRecord *> &daemons)
{
    if (daemons.empty()) {
        return;
    }
    const std::size_t perTick = std::max(minLocalPeersPerTick, (daemons.size() + ticksPerLocalRound - 1) / ticksPerLocalRound);
    const std::size_t rounds = (daemons.size() + perTick - 1) / perTick;
    gateway_.setDigestInterval(tickInterval * static_cast<int>(rounds));
    if (nextLocalPeer_ >= daemons.size()) {
        nextLocalPeer_ = 0;
    }
    if (nextLocalPeer_ == 0) {
        gateway_.beginDigestRound(DigestReach::OwnRegion);
    }
    const std::size_t end = std::min(daemons.size(), nextLocalPeer_ + perTick);
    const auto datagrams = encodedDigests(DigestReach::OwnRegion);
    for (; nextLocalPeer_ < end; ++nextLocalPeer_) {
        sendTo(daemons[nextLocalPeer_]->linkAddress, datagrams);
    }
}

void GatewayServer::sendRemoteDigests(const std::vector<const DaemonRecord *> &daemons)
{
    if (daemons.empty()) {
        return;
    }
    gateway_.beginDigestRound(DigestReach::OtherRegions);
    const auto datagrams = encodedDigests(DigestReach::OtherRegions);
    for (std::size_t count = remotePeersPerRound(daemons.size()); count > 0; --count) {
        sendTo(daemons[remoteCursor_.next(daemons.size())]->linkAddress, datagrams);
    }
}

std::vector<std::vector<std::uint8_t>> GatewayServer::encodedDigests(DigestReach reach)
{
    std::vector<std::vector<std::uint8_t>> datagrams;
    for (const Wire::LoadDigestT &digest : gateway_.digests(reach)) {
        datagrams.push_back(encodeDigest(digest));
    }
    return datagrams;
}

void GatewayServer::sendDigests()
{
    send(gateway_.dueFleetDigests(tickNumber_));
}

void GatewayServer::send(const std::vector<OutgoingDigest> &digests)
{
    for (const OutgoingDigest &outgoing : digests) {
        const std::vector<std::vector<std::uint8_t>> datagrams{ encodeDigest(outgoing.digest) };
        for (const std::string &address : outgoing.to) {
            sendTo(address, datagrams);
        }
    }
}

void GatewayServer::sendTo(const std::string &address, const std::vector<std::vector<std::uint8_t>> &datagrams)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return;
    }
    for (const std::vector<std::uint8_t> &datagram : datagrams) {
        NetError ignored;
        // A datagram that cannot be sent is treated like a lost one: the next digest follows soon.
        datagrams_.send_to(boost::asio::buffer(datagram), datagramEndpoint(*endpoint), 0, ignored);
    }
}

} // namespace Portpaddle
