// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a decision may look at: an immutable picture of settings, upstreams and other data centres.
#pragma once

#include "portpaddle/settings/compiled.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Which signal said that an upstream is leaving.
enum class LeavingSignal { None, Settings, OwnReport, VmList };
std::string_view nameOf(LeavingSignal signal);

/// The load of an upstream as last reported.
struct UpstreamLoad
{
    unsigned running = 0;
    unsigned queuedInteractive = 0;
    unsigned queuedDeferrable = 0;
};

/// An upstream of the daemon's own data centre.
struct UpstreamView
{
    std::string id;
    std::string address;
    /// Hash of the id, for rendezvous.
    std::uint64_t idHash = 0;
    unsigned slots = 1;
    UpstreamLoad load;
    /// When the load was true, on the monotonic clock of this daemon.
    Millis observedAt{ 0 };
    LeavingSignal leaving = LeavingSignal::None;
    /// False while the upstream is ejected after failures.
    bool healthy = true;
    /// Share of its slots that may be used while it warms up, in (0, 1].
    double admitted = 1;
    bool checksFence = true;
};

/// An upstream that offers a service, with the version it has.
struct ServiceCandidate
{
    std::uint32_t upstream = 0;
    std::string version;
};

/// Another data centre as known for one service.
struct RemoteView
{
    std::string dataCentre;
    std::string region;
    /// Slots of all its upstreams that take new work.
    unsigned capacity = 0;
    unsigned busy = 0;
    unsigned queued = 0;
    std::vector<std::string> versions;
    Millis observedAt{ 0 };
    /// Whether a usable daemon there is known.
    bool reachable = false;
    /// Usable daemons there: each of them may send requests away as well.
    unsigned daemons = 1;
    /// Position in the table of requests sent there by this daemon.
    std::uint32_t slot = 0;
};

/// Where one service may run.
struct ServiceRoutes
{
    std::vector<ServiceCandidate> local;
    std::vector<RemoteView> remote;
};

/// Published as a whole; never changed afterwards.
struct RoutingSnapshot
{
    std::shared_ptr<const CompiledSettings> settings = std::make_shared<CompiledSettings>();
    std::vector<UpstreamView> upstreams;
    std::unordered_map<std::string, ServiceRoutes> routes;
    /// Live daemons of the own data centre, this one included.
    unsigned localDaemons = 1;

    const ServiceRoutes &routesOf(const std::string &service) const;
};

} // namespace Portpaddle
