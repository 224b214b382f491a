// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// State shared by the controllers of a daemon: each controller publishes its own section, the request path reads snapshots.
#pragma once

#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/limits/limiter.h"
#include "portpaddle/routing/routing_snapshot.h"
#include "portpaddle/routing/upstream_table.h"

#include <atomic>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// A daemon of the fleet as membership knows it.
struct MemberView
{
    std::string id;
    std::string region;
    std::string dataCentre;
    std::string entryAddress;
    std::string linkAddress;
    bool alive = false;
    bool suspected = false;
    bool leaving = false;
};

/// All known daemons, including this one.
struct MemberTable
{
    std::vector<MemberView> members;
    /// Whether daemons are missing that are not known to have left.
    bool partitioned = false;
    /// The number of daemons among which limits are divided: live ones and those that disappeared recently.
    unsigned counted = 1;
};

/// The load of one service in another data centre, as that data centre reported it.
struct SummaryEntry
{
    std::string dataCentre;
    std::string service;
    std::uint64_t sequence = 0;
    unsigned capacity = 0;
    unsigned busy = 0;
    unsigned queued = 0;
    std::vector<std::string> versions;
    Millis observedAt{ 0 };
};

/// The summaries of all other data centres.
struct SummaryTable
{
    std::vector<SummaryEntry> entries;
};

/// Whether the platform answers, and since when this has been so.
struct PlatformView
{
    bool reachable = false;
    Millis since{ 0 };
};

/// Holds the sections and the routing snapshot that is built from them.
class Blackboard
{
public:
    RcuCell<CompiledSettings> settings;
    RcuCell<MemberTable> members;
    RcuCell<SummaryTable> summaries;
    RcuCell<PlatformView> platform;
    RcuCell<RoutingSnapshot> routing;
    UpstreamTable upstreams;
    Limiter limiter;
    std::atomic<bool> draining{ false };
};

} // namespace Portpaddle
