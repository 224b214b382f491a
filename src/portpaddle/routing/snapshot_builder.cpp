// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/routing/snapshot_builder.h"

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

unsigned countUsable(const MemberTable &members, const std::string &dataCentre)
{
    const auto count = std::count_if(members.members.begin(), members.members.end(), [&](const MemberView &member) {
        return member.dataCentre == dataCentre && member.alive && !member.suspected && !member.leaving;
    });
    return static_cast<unsigned>(count);
}

} // namespace

std::shared_ptr<DispatchCounter> RemoteDispatches::counter(const std::string &dataCentre, const std::string &service)
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<DispatchCounter> &counter = counters_[dataCentre + '/' + service];
    if (!counter) {
        counter = std::make_shared<DispatchCounter>();
    }
    return counter;
}

SnapshotBuilder::SnapshotBuilder(Blackboard &board, const Clock &clock, RemoteDispatches &remoteDispatches)
    : board_(board), clock_(clock), remoteDispatches_(remoteDispatches)
{
}

void SnapshotBuilder::rebuild()
{
    const std::lock_guard lock(mutex_);
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->settings = board_.settings.read();
    const std::shared_ptr<const MemberTable> members = board_.members.read();
    snapshot->localDaemons = std::max(1U, countUsable(*members, snapshot->settings->place().dataCentre));
    addUpstreams(*snapshot, clock_.monotonic());
    addRemotes(*snapshot);
    board_.routing.publish(std::move(snapshot));
}

void SnapshotBuilder::addUpstreams(RoutingSnapshot &snapshot, Millis now) const
{
    for (const UpstreamSettings &upstream : snapshot.settings->upstreams()) {
        if (upstream.dataCentre != snapshot.settings->place().dataCentre) {
            continue;
        }
        UpstreamView view;
        view.id = upstream.id;
        view.address = upstream.address;
        view.idHash = stableHash(upstream.id);
        view.slots = upstream.slots;
        view.leaving = upstream.leaving ? LeavingSignal::Settings : LeavingSignal::None;
        view.checksFence = upstream.checksFence;
        const auto index = static_cast<std::uint32_t>(snapshot.upstreams.size());
        for (const OfferedService &service : upstream.services) {
            snapshot.routes[service.name].local.push_back(ServiceCandidate{ index, service.version });
        }
        snapshot.upstreams.push_back(std::move(view));
    }
    board_.upstreams.describe(snapshot.upstreams, now);
}

void SnapshotBuilder::addRemotes(RoutingSnapshot &snapshot) const
{
    const std::shared_ptr<const MemberTable> members = board_.members.read();
    const std::shared_ptr<const SummaryTable> summaries = board_.summaries.read();
    for (const SummaryEntry &entry : summaries->entries) {
        const std::string region = snapshot.settings->regionOf(entry.dataCentre);
        if (region.empty() || entry.dataCentre == snapshot.settings->place().dataCentre) {
            continue;
        }
        std::vector<RemoteView> &remotes = snapshot.routes[entry.service].remote;
        RemoteView view;
        view.dataCentre = entry.dataCentre;
        view.region = region;
        view.capacity = entry.capacity;
        view.busy = entry.busy;
        view.queued = entry.queued;
        view.versions = entry.versions;
        view.observedAt = entry.observedAt;
        view.daemons = countUsable(*members, entry.dataCentre);
        view.reachable = view.daemons > 0;
        view.slot = static_cast<std::uint32_t>(remotes.size());
        remoteDispatches_.counter(entry.dataCentre, entry.service)->reported(entry.observedAt);
        remotes.push_back(std::move(view));
    }
}

std::vector<SummaryEntry> summarise(const RoutingSnapshot &snapshot, Millis now)
{
    std::vector<SummaryEntry> result;
    for (const auto &[service, routes] : snapshot.routes) {
        SummaryEntry entry;
        entry.dataCentre = snapshot.settings->place().dataCentre;
        entry.service = service;
        entry.observedAt = now;
        for (const ServiceCandidate &candidate : routes.local) {
            const UpstreamView &view = snapshot.upstreams[candidate.upstream];
            if (view.leaving != LeavingSignal::None || !view.healthy) {
                continue;
            }
            entry.capacity += std::max(1U, static_cast<unsigned>(view.slots * view.admitted));
            entry.busy += std::min(view.load.running, view.slots);
            entry.queued += view.load.queuedInteractive + view.load.queuedDeferrable;
            if (std::find(entry.versions.begin(), entry.versions.end(), candidate.version) == entry.versions.end()) {
                entry.versions.push_back(candidate.version);
            }
        }
        if (!routes.local.empty()) {
            result.push_back(std::move(entry));
        }
    }
    return result;
}

} // namespace Portpaddle
