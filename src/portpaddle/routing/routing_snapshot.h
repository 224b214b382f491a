// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The input of routing decisions: an immutable snapshot of settings, upstreams and other data centres.
#pragma once

#include "portpaddle/settings/compiled.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// The source from which it is known that an upstream is leaving.
enum class LeavingSignal { None, Settings, OwnReport, VmList };
std::string_view nameOf(LeavingSignal signal);

/// The number of requests at an upstream, as last reported.
struct UpstreamLoad
{
    unsigned running = 0;
    unsigned queuedInteractive = 0;
    unsigned queuedDeferrable = 0;
};

/// The state of an upstream in the daemon's own data centre.
struct UpstreamView
{
    std::string id;
    std::string address;
    /// Hash of the id for rendezvous hashing.
    std::uint64_t idHash = 0;
    unsigned slots = 1;
    UpstreamLoad load;
    /// When the load was observed, on the monotonic clock of this daemon.
    Millis observedAt{ 0 };
    LeavingSignal leaving = LeavingSignal::None;
    /// False while the upstream is ejected after failures.
    bool healthy = true;
    /// Share of the slots that may be used, in (0, 1]; below 1 while the upstream warms up.
    double admitted = 1;
    bool checksFence = true;
};

/// An upstream that offers a service, and the version of the service that it runs.
struct ServiceCandidate
{
    std::uint32_t upstream = 0;
    std::string version;
};

/// The state of one service in another data centre, as last reported.
struct RemoteView
{
    std::string dataCentre;
    std::string region;
    /// Total slots of the upstreams there that accept new requests.
    unsigned capacity = 0;
    unsigned busy = 0;
    unsigned queued = 0;
    std::vector<std::string> versions;
    Millis observedAt{ 0 };
    /// Whether at least one usable daemon is known there.
    bool reachable = false;
    /// Number of usable daemons there; each of them may forward requests to other data centres.
    unsigned daemons = 1;
    /// Index of this view in OwnDispatches::remotes.
    std::uint32_t slot = 0;
};

/// The upstreams and data centres that may serve one service.
struct ServiceRoutes
{
    std::vector<ServiceCandidate> local;
    std::vector<RemoteView> remote;
};

/// Everything that a routing decision depends on. Published as a whole and never changed afterwards.
struct RoutingSnapshot
{
    std::shared_ptr<const CompiledSettings> settings = std::make_shared<CompiledSettings>();
    std::vector<UpstreamView> upstreams;
    std::unordered_map<std::string, ServiceRoutes> routes;
    /// Number of usable daemons in the own data centre, including this one.
    unsigned localDaemons = 1;

    const ServiceRoutes &routesOf(const std::string &service) const;
};

} // namespace Portpaddle
