// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Runs the gossip protocol over a UDP socket and publishes members, loads and summaries on the blackboard.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/membership/gossip_node.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace Portpaddle {

class Clock;
class Metrics;

/// The dependencies of the membership controller; the referenced objects must outlive it.
struct MembershipParts
{
    Blackboard &board;
    const Clock &clock;
    RandomSource &random;
    Metrics &metrics;
    std::string clusterKey;
    GossipConfig config;
    /// Called when a peer holds newer settings.
    std::function<void(const std::string &daemon, std::uint64_t version)> onNewerSettings;
    /// Called after members, loads or summaries changed.
    std::function<void()> onChanged;
};

/// Owns the socket and one thread.
class MembershipController
{
public:
    explicit MembershipController(MembershipParts parts);
    ~MembershipController();

    /// Binds the socket; returns the address in use.
    Result<SocketAddress> bindTo(const SocketAddress &address);
    /// Starts the protocol as @p self, whose addresses must be set.
    void start(const MemberUpdate &self, std::vector<SocketAddress> seeds);
    void stop();

    void setSeeds(std::vector<SocketAddress> seeds);
    void leave();
    void setSettingsVersion(std::uint64_t version);
    void announceUpstream(const UpstreamReport &report);
    bool isResponsibleFor(const std::string &subject, unsigned places = 1) const;
    /// Whether no other daemon is known.
    bool isAlone() const;

private:
    void run();
    void receiveAll();
    void send(const std::vector<Datagram> &datagrams);
    void announcePeriodically(Millis now);
    std::shared_ptr<SummaryTable> resolveSummaries(const std::map<std::string, DataCentreSummary> &summaries) const;
    void applyDigests(const std::vector<UpstreamDigest> &digests);
    void publish(const GossipUpdates &updates, Millis now);

    MembershipParts parts_;
    int socket_ = -1;
    mutable std::mutex mutex_;
    std::unique_ptr<GossipNode> node_;
    std::uint64_t settingsVersion_ = 0;
    Millis announcedAt_{ 0 };
    std::atomic<bool> stopping_{ false };
    Thread thread_;
};

} // namespace Portpaddle
