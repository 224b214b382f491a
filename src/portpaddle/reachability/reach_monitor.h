// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Observes from this daemon's connections whether it reaches the upstreams of each service, and tries again while it does not.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/reachability/service_reach.h"
#include "portpaddle/store_following/fleet_view.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Portpaddle {

/// A set of services as daemons report it to each other: a bit for each service of the configuration in the order of their names.
/// Of more services than bits several share one.
using ServiceSet = std::uint8_t;
/// Returns the bit of @p service in the configuration of @p view; none before the first configuration.
ServiceSet bitOf(const FleetView &view, const std::string &service);

/// Belongs to one event loop and lives as long as it.
class ReachMonitor
{
public:
    ReachMonitor(Executor executor, ConnectionPool &pool, std::string region);

    void setView(std::shared_ptr<const FleetView> view);
    /// Records that a new connection to @p upstream was opened.
    void connected(const UpstreamRecord &upstream);
    /// Records that bytes came from @p upstream.
    void heard(const UpstreamRecord &upstream, SteadyTime now);
    /// Records that no connection to @p upstream could be opened.
    void connectFailed(const UpstreamRecord &upstream, SteadyTime now);
    Reach reach(const std::string &service) const;
    /// Returns whether bytes came from any upstream of @p service since @p time.
    bool heardSince(const std::string &service, SteadyTime time) const;
    /// Returns whether a request can be sent to @p upstream, over an open connection or a new one.
    bool reaches(const UpstreamRecord &upstream) const;
    /// Returns the services whose upstreams accept no new connections of this daemon.
    ServiceSet unreachable() const;
    /// Tries due connections. Call a few times a second.
    void tick(SteadyTime now);

private:
    struct Service
    {
        ServiceReach reach;
        bool probing = false;
        SteadyTime probeAt{};
        /// The upstream that was probed last.
        std::string probed;
    };

    /// Returns the upstreams of @p service in the own region; valid until the view changes.
    std::vector<const UpstreamRecord *> upstreamsOf(const std::string &service) const;
    /// Returns the upstream to connect to next: one that has not failed if there is any, else each in turn.
    static const UpstreamRecord *nextToProbe(const Service &service, const std::vector<const UpstreamRecord *> &upstreams);
    void beginProbe(const std::string &name, Service &service, SteadyTime now);
    Task<void> probe(UpstreamRecord upstream);
    void logChange(const std::string &service, Reach before) const;

    Executor executor_;
    ConnectionPool &pool_;
    std::string region_;
    std::shared_ptr<const FleetView> view_;
    std::map<std::string, Service> services_;
};

} // namespace Portpaddle
