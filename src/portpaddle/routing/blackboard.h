// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What the controllers of a daemon share: each writes its own section, the request path reads snapshots.
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

/// Another daemon as membership sees it.
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

/// All known daemons, this one included.
struct MemberTable
{
    std::vector<MemberView> members;
    /// Whether daemons are missing that nobody says have left.
    bool partitioned = false;
    /// Daemons that count for limits: live ones and those that vanished recently.
    unsigned counted = 1;
};

/// What another data centre said of one service.
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

/// Summaries of all other data centres.
struct SummaryTable
{
    std::vector<SummaryEntry> entries;
};

/// Whether the platform answers.
struct PlatformView
{
    bool reachable = false;
    Millis since{ 0 };
};

/// The sections and the picture for decisions that is built from them.
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
