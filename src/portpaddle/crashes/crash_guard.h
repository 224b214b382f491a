// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Notices upstreams that end while they run requests, and which requests those were.
#pragma once

#include "portpaddle/crashes/crash_watch.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_connection.h"

#include <string>

namespace Portpaddle {

class Metrics;

/// Belongs to one event loop, and lives as long as it.
class CrashGuard
{
public:
    CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics);

    /// The connection of a run broke before the run had shown that it can be run.
    void runBroke(const UpstreamRecord &upstream, const RequestFingerprint &fingerprint, SteadyTime now);
    /// Nobody listens at the address of @p upstream.
    void refusedConnection(const std::string &upstream, SteadyTime now);
    /// Upstreams that are listed no more have ended.
    void setView(const FleetView &view, SteadyTime now);
    void tick(SteadyTime now);

private:
    Task<void> askWhetherItLives(std::string upstream, std::string address);
    void noteSuspects(const std::string &upstream);

    Executor executor_;
    ConnectionPool &pool_;
    Metrics &metrics_;
    CrashWatch watch_;
};

} // namespace Portpaddle
