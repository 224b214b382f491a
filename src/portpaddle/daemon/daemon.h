// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// One daemon: its controllers, listeners and the order in which they start and stop.
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

/// Addresses in use, which differ from the configured ones where those left the port open.
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
    /// Takes no new work from now on; everybody hears of it.
    void beginDrain();
    /// Drains, finishes every request in progress, then stops.
    void stopGracefully();

    Blackboard &board();
    Metrics &metrics();
    SettingsController &settings();
    MembershipController &membership();
    const DaemonConfig &config() const;
    /// The explanation of a request that this daemon or the daemon that took it in remembers.
    std::optional<std::string> explainAnywhere(const std::string &requestId);
    Result<SettingsChange> proposeSettings(const ChangeProposal &proposal);
    AuditTrail &audit();
    const OrderController &orders() const;
    SettingsLog settingsLog();
    std::size_t requestsInProgress() const;

private:
    std::optional<std::string> answerPeer(const PeerIdentity &peer, const std::string &kind, const std::string &argument);
    std::optional<std::string> explainHere(const std::string &requestId, const std::string &askerRegion) const;
    void settingsApplied(std::uint64_t version);
    void keepHouse();
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
    std::mutex houseMutex_;
    std::condition_variable houseWake_;
    bool stopping_ = false;
    Thread housekeeper_;
};

} // namespace Portpaddle
