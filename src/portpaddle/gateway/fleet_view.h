// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What the platform's store tells a daemon: configuration, upstreams, daemons. Published as a whole, never changed afterwards.
#pragma once

#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/gateway/service_map.h"
#include "portpaddle/net/asio.h"
#include "portpaddle/upstream_limits/limit_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// One life of an upstream as it registered itself.
struct UpstreamRecord
{
    /// Names this life; a restarted upstream has another, also where it registers under the name that it had.
    std::string id;
    /// The name under which it registered and answers.
    std::string registeredName;
    std::string service;
    /// IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string region;
    unsigned slots = 1;
    /// It takes no new requests; sticky for this life.
    bool leaving = false;
    /// When this daemon heard that it leaves.
    std::optional<SteadyTime> leavingSince;
    /// When it will be gone whatever it runs; set where the platform announced it.
    std::optional<SteadyTime> goneAt;
    /// Until then it bears few requests a second.
    SteadyTime coldUntil{};
};

/// A daemon that registered itself.
struct DaemonRecord
{
    std::string id;
    std::string region;
    std::string dataCentre;
    /// Where callers reach it.
    std::string entryAddress;
    /// Where other daemons reach it, TCP and UDP.
    std::string linkAddress;
    bool leaving = false;
    /// Cores that it may use; zero where it did not say.
    double cpuCores = 0;
};

/// Everything at one moment.
struct FleetView
{
    /// Null until a configuration is known.
    std::shared_ptr<const ServiceMap> services;
    std::unordered_map<std::string, UpstreamRecord> upstreams;
    /// Data centres whose upstreams receive nothing for now.
    std::set<std::string> evacuated;
    std::vector<DaemonRecord> daemons;
    /// Requests that are not to be sent to upstreams.
    QuarantinedRequests quarantined;
    StoredLimits upstreamLimits;
    bool storeReachable = false;

    /// Whether new requests may be sent to @p upstream.
    bool takesRequests(const UpstreamRecord &upstream) const
    {
        return !upstream.leaving && !evacuated.contains(upstream.dataCentre);
    }
};

} // namespace Portpaddle
