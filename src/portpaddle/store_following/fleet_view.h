// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A snapshot of what a daemon knows from the platform's store: configuration, upstreams and daemons. Published as a whole and
/// never changed afterwards.
#pragma once

#include "portpaddle/base/copy_on_write_map.h"
#include "portpaddle/base/shared_list.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/net/asio.h"
#include "portpaddle/rollouts/rollout.h"
#include "portpaddle/store_following/service_map.h"
#include "portpaddle/stream_versions/version_sets.h"
#include "portpaddle/upstream_limits/limit_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Portpaddle {

/// One incarnation of an upstream as it registered itself.
struct UpstreamRecord
{
    /// Identifies the incarnation; a restarted upstream gets another id, even if it registers under the same name.
    std::string id;
    /// The name under which the upstream registered and answers.
    std::string registeredName;
    std::string service;
    /// Version of the upstream's software.
    std::string version;
    /// IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string region;
    unsigned slots = 1;
    /// The upstream takes no new requests; final for this incarnation.
    bool leaving = false;
    /// When this daemon learned that the upstream is leaving.
    std::optional<SteadyTime> leavingSince;
    /// When the upstream will end regardless of its requests; set where the platform announced it.
    std::optional<SteadyTime> goneAt;
    /// Until then the upstream sustains few requests a second.
    SteadyTime coldUntil{};
};

/// A daemon that registered itself.
struct DaemonRecord
{
    std::string id;
    std::string region;
    std::string dataCentre;
    /// Address for callers.
    std::string entryAddress;
    /// Address for other daemons, TCP and UDP.
    std::string linkAddress;
    bool leaving = false;
    /// Cores that the daemon may use; zero where it did not report them.
    double cpuCores = 0;
};

/// The state of the fleet at one moment. Views that follow each other share all records that did not change.
struct FleetView
{
    /// Null until a configuration is known.
    std::shared_ptr<const ServiceMap> services;
    /// By id.
    CopyOnWriteMap<UpstreamRecord> upstreams;
    /// Data centres whose upstreams receive no requests for now.
    std::set<std::string> evacuated;
    SharedList<DaemonRecord> daemons;
    /// Requests that must not be sent to upstreams.
    QuarantinedRequests quarantined;
    StoredLimits upstreamLimits;
    Rollouts rollouts;
    VersionSets versionSets;
    bool storeReachable = false;

    /// Returns whether new requests may be sent to @p upstream.
    bool takesRequests(const UpstreamRecord &upstream) const
    {
        return !upstream.leaving && !evacuated.contains(upstream.dataCentre);
    }
};

} // namespace Portpaddle
