// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon: its controllers and listeners, and the order in which they start and stop.
#pragma once

#include "portpaddle/base/metrics.h"
#include "portpaddle/claims/claim_store.h"
#include "portpaddle/control/audit_trail.h"
#include "portpaddle/control/membership_controller.h"
#include "portpaddle/control/observer_controller.h"
#include "portpaddle/control/order_controller.h"
#include "portpaddle/control/settings_controller.h"
#include "portpaddle/daemon/daemon_config.h"
#include "portpaddle/dispatch/dispatcher.h"
#include "portpaddle/entry/authenticator.h"
#include "portpaddle/entry/entry_server.h"
#include "portpaddle/interfaces/platform.h"
#include "portpaddle/link/link_server.h"
#include "portpaddle/link/peer_links.h"
#include "portpaddle/platform/counting_platform.h"
#include "portpaddle/upstream/http_upstream_client.h"

#include <memory>

namespace Portpaddle {

class AdminServer;

/// The addresses on which a daemon listens. A port that is configured as 0 is replaced by the port that was assigned.
struct DaemonAddresses
{
    SocketAddress entry;
    SocketAddress admin;
    SocketAddress gossip;
    SocketAddress link;
};

/// Builds, starts and stops a daemon. The platform, the clock and the random source must outlive it.
class Daemon
{
public:
    Daemon(DaemonConfig config, Platform &platform, const Clock &clock, RandomSource &random);
    ~Daemon();

    Result<DaemonAddresses> start();
    /// Stops accepting new requests and announces to the other daemons that this daemon leaves.
    void beginDrain();
    /// Drains the daemon and waits until every request in progress has finished.
    void stopGracefully();

    Blackboard &board();
    Metrics &metrics();
    SettingsController &settings();
    MembershipController &membership();
    const DaemonConfig &config() const;
    /// Returns the explanation of a request from the daemon that received the request, or else from this one; no value when
    /// neither can give one.
    std::optional<std::string> findExplanation(const std::string &requestId);
    Result<SettingsChange> proposeSettings(const ChangeProposal &proposal);
    AuditTrail &audit();
    const OrderController &orders() const;
    SettingsLog settingsLog();
    std::size_t requestsInProgress() const;

private:
    std::optional<std::string> answerPeerRequest(const PeerIdentity &peer, const std::string &kind, const std::string &argument);
    std::optional<std::string> explainLocally(const std::string &requestId, const std::string &requesterRegion) const;
    void onSettingsApplied(std::uint64_t version);
    void runHousekeeping();
    void readVmList();

    DaemonConfig config_;
    const Clock &clock_;
    Metrics metrics_;
    CountingPlatform platform_;
    Blackboard board_;
    RemoteDispatches remoteDispatches_;
    SnapshotBuilder snapshots_;
    TraceRing traces_;
    HttpUpstreamClient upstreamClient_;
    ClaimStore claims_;
    Authenticator authenticator_;
    AuditTrail audit_;
    PeerLinks links_;
    Dispatcher dispatcher_;
    MembershipController membership_;
    SettingsController settings_;
    ObserverController observer_;
    HttpOrderSender orderSender_;
    OrderController orders_;
    LinkServer linkServer_;
    EntryServer entry_;
    std::unique_ptr<AdminServer> admin_;
    std::mutex housekeepingMutex_;
    std::condition_variable housekeepingWake_;
    bool stopping_ = false;
    Thread housekeepingThread_;
};

} // namespace Portpaddle
