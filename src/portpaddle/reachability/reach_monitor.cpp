// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/reachability/reach_monitor.h"

#include "portpaddle/base/log.h"
#include "portpaddle/net/spawn.h"

#include <algorithm>
#include <limits>

namespace Portpaddle {

namespace {

// Paths that work again must be used within a second.
constexpr std::chrono::milliseconds probeInterval{ 250 };
// Upstreams are one network hop away.
constexpr std::chrono::milliseconds probeTimeout{ 400 };

} // namespace

ServiceSet bitOf(const FleetView &view, const std::string &service)
{
    if (!view.services) {
        return 0;
    }
    const auto &services = view.services->services;
    const auto rank = std::count_if(services.begin(), services.end(), [&](const auto &item) { return item.first < service; });
    return static_cast<ServiceSet>(1U << (rank % std::numeric_limits<ServiceSet>::digits));
}

ReachMonitor::ReachMonitor(Executor executor, ConnectionPool &pool, std::string region)
    : executor_(executor), pool_(pool), region_(std::move(region))
{
}

void ReachMonitor::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    if (view_->services) {
        std::erase_if(services_, [this](const auto &item) {
            return !item.second.probing && !view_->services->services.contains(item.first);
        });
    }
}

void ReachMonitor::connected(const UpstreamRecord &upstream)
{
    const auto found = services_.find(upstream.service);
    if (found == services_.end()) {
        return;
    }
    const Reach before = found->second.reach.reach();
    found->second.reach.connected();
    logChange(upstream.service, before);
}

void ReachMonitor::heard(const UpstreamRecord &upstream, SteadyTime now)
{
    ServiceReach &reach = services_[upstream.service].reach;
    const Reach before = reach.reach();
    reach.heard(now);
    logChange(upstream.service, before);
}

void ReachMonitor::connectFailed(const UpstreamRecord &upstream, SteadyTime now)
{
    Service &service = services_[upstream.service];
    const Reach before = service.reach.reach();
    service.reach.connectFailed(upstream.id, upstreamsOf(upstream.service).size(), now);
    logChange(upstream.service, before);
    if (before == Reach::Whole && service.reach.reach() != Reach::Whole) {
        beginProbe(upstream.service, service, now);
    }
}

Reach ReachMonitor::reach(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? Reach::Whole : found->second.reach.reach();
}

bool ReachMonitor::heardSince(const std::string &service, SteadyTime time) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.reach.heardSince(time);
}

bool ReachMonitor::reaches(const UpstreamRecord &upstream) const
{
    const Reach known = reach(upstream.service);
    return known == Reach::Whole || (known == Reach::OpenConnections && pool_.idle(upstream.id) > 0);
}

ServiceSet ReachMonitor::unreachable() const
{
    ServiceSet services = 0;
    for (const auto &[name, service] : services_) {
        services |= service.reach.reach() == Reach::Whole ? ServiceSet{ 0 } : bitOf(*view_, name);
    }
    return services;
}

void ReachMonitor::tick(SteadyTime now)
{
    for (auto &[name, service] : services_) {
        if (service.reach.reach() != Reach::Whole && now >= service.probeAt) {
            beginProbe(name, service, now);
        }
    }
}

std::vector<const UpstreamRecord *> ReachMonitor::upstreamsOf(const std::string &service) const
{
    std::vector<const UpstreamRecord *> upstreams;
    for (const auto &[id, record] : view_->upstreams) {
        if (record.service == service && record.region == region_ && !record.leaving) {
            upstreams.push_back(&record);
        }
    }
    return upstreams;
}

const UpstreamRecord *ReachMonitor::nextToProbe(const Service &service, const std::vector<const UpstreamRecord *> &upstreams)
{
    const UpstreamRecord *next = nullptr;
    for (const UpstreamRecord *upstream : upstreams) {
        if (!service.reach.hasFailed(upstream->id)) {
            return upstream;
        }
        const bool isLater = upstream->id > service.probed;
        const bool nextIsLater = next != nullptr && next->id > service.probed;
        if (next == nullptr || (isLater && !nextIsLater) || (isLater == nextIsLater && upstream->id < next->id)) {
            next = upstream;
        }
    }
    return next;
}

void ReachMonitor::beginProbe(const std::string &name, Service &service, SteadyTime now)
{
    if (service.probing) {
        return;
    }
    service.probeAt = now + probeInterval;
    const std::vector<const UpstreamRecord *> upstreams = upstreamsOf(name);
    const UpstreamRecord *next = nextToProbe(service, upstreams);
    if (next == nullptr) {
        // Nothing shows the paths any more; requests find no upstream anyway.
        const Reach before = service.reach.reach();
        service.reach.connected();
        logChange(name, before);
        return;
    }
    service.probing = true;
    service.probed = next->id;
    spawnTask(executor_, "probe_reach", [this, upstream = *next] { return probe(upstream); });
}

Task<void> ReachMonitor::probe(UpstreamRecord upstream)
{
    UpstreamConnection *opening = nullptr;
    NetError error;
    std::unique_ptr<UpstreamConnection> connection
        = co_await pool_.connect(upstream.id, upstream.address, probeTimeout, &opening, error);
    const SteadyTime now = BootClock::now();
    services_[upstream.service].probing = false;
    if (connection) {
        connection->usableUntil = now + defaultKeep;
        pool_.keep(upstream.id, std::move(connection));
        connected(upstream);
    } else {
        connectFailed(upstream, now);
    }
}

void ReachMonitor::logChange(const std::string &service, Reach before) const
{
    const Reach now = reach(service);
    if (now != before) {
        logEvent(LogEvent::ReachChanged,
                 { { "service", service }, { "before", std::string(nameOf(before)) }, { "reach", std::string(nameOf(now)) } });
    }
}

} // namespace Portpaddle
