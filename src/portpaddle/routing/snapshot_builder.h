// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Builds routing snapshots from the sections of the blackboard.
#pragma once

#include "portpaddle/routing/blackboard.h"

#include <memory>
#include <mutex>

namespace Portpaddle {

class Clock;

/// Counts the requests sent to other data centres that their last summary does not include yet, by data centre and service.
class RemoteDispatches
{
public:
    std::shared_ptr<DispatchCounter> counter(const std::string &dataCentre, const std::string &service);

private:
    std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<DispatchCounter>> counters_;
};

/// Builds and publishes a new snapshot after a change. Thread-safe.
class SnapshotBuilder
{
public:
    SnapshotBuilder(Blackboard &board, const Clock &clock, RemoteDispatches &remoteDispatches);
    void rebuild();

private:
    void addUpstreams(RoutingSnapshot &snapshot, Millis now) const;
    void addRemotes(RoutingSnapshot &snapshot) const;

    Blackboard &board_;
    const Clock &clock_;
    RemoteDispatches &remoteDispatches_;
    std::mutex mutex_;
};

/// Summarises the own data centre's capacity and load for each service, for other data centres.
std::vector<SummaryEntry> summarise(const RoutingSnapshot &snapshot, Millis now);

} // namespace Portpaddle
