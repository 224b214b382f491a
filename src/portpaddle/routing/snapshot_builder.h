// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Builds the picture for decisions out of the blackboard's sections.
#pragma once

#include "portpaddle/routing/blackboard.h"

#include <memory>
#include <mutex>

namespace Portpaddle {

class Clock;

/// Requests sent to other data centres that their last summary cannot know of yet, by data centre and service.
class RemoteDispatches
{
public:
    std::shared_ptr<DispatchCounter> counter(const std::string &dataCentre, const std::string &service);

private:
    std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<DispatchCounter>> counters_;
};

/// Rebuilds when something changed; safe to call from every controller.
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

/// What the own data centre offers for each service, to be told to others.
std::vector<SummaryEntry> summarise(const RoutingSnapshot &snapshot, Millis now);

} // namespace Portpaddle
