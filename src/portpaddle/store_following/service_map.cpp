// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/service_map.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>
#include <set>

namespace Portpaddle {

namespace {

constexpr NameTable<RouteKind, 3> kindNames{ { "idempotent", "non_idempotent", "stream" } };

// How long callers wait for the first event of a stream: at least the minimum, or the given multiples of the target latency and
// of the longest pause if longer. Derived from the platform's documentation of callers.
constexpr Millis minFirstEventTimeout{ 2'000 };
constexpr int timeoutPerTargetLatency = 4;
constexpr int timeoutPerLongestPause = 8;
// Each further priority of routes weighs so much of the one before, so that the most urgent ones keep classes of their own.
constexpr double furtherRouteWeight = 0.5;

} // namespace

std::string_view nameOf(RouteKind kind)
{
    return kindNames[kind];
}

bool Route::mayRunTwice() const
{
    return kind == RouteKind::Idempotent || resumable;
}

Millis Route::firstEventTimeout() const
{
    if (kind != RouteKind::Stream) {
        return timeout;
    }
    return std::max({ minFirstEventTimeout, timeoutPerTargetLatency * targetLatency, timeoutPerLongestPause * longestPause });
}

bool Route::allowsRegion(std::string_view region) const
{
    return isHome(homeRegions, region);
}

const std::string &Route::serviceFor(std::uint64_t requestHash) const
{
    std::uint64_t total = 0;
    for (const WeightedService &entry : services) {
        total += entry.weight;
    }
    if (total == 0) {
        return services.front().service;
    }
    std::uint64_t rest = requestHash % total;
    for (const WeightedService &entry : services) {
        if (rest < entry.weight) {
            return entry.service;
        }
        rest -= entry.weight;
    }
    return services.back().service;
}

bool ServiceSpec::isModelEngine() const
{
    return memoryTokens > 0;
}

void ServiceMap::index()
{
    byHost_.clear();
    for (const Route &route : routes) {
        byHost_[route.host].push_back(&route);
    }
    priorities_ = PriorityOrder(priorityWeights());
    routePriorities_ = PriorityOrder(routeWeights());
    for (auto &[host, entries] : byHost_) {
        std::sort(entries.begin(), entries.end(),
                  [](const Route *a, const Route *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const Route *ServiceMap::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(std::string(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

RequestPriority ServiceMap::priorityOf(const Route &route, const Organisation *organisation)
{
    const unsigned ofOrganisation = organisation != nullptr ? organisation->priority.value_or(route.priority) : route.priority;
    return { ofOrganisation, route.priority };
}

/// Weighs each priority by the limits of the organisations that have it: the configuration says no more about the demand.
std::map<RequestPriority, double> ServiceMap::priorityWeights() const
{
    std::map<unsigned, bool> hasPublicRoute;
    for (const Route &route : routes) {
        hasPublicRoute[route.priority] |= route.isPublic;
    }
    std::map<RequestPriority, double> weights;
    double routeWeight = 1;
    for (const auto &[priority, isPublic] : hasPublicRoute) {
        if (organisations.empty() || isPublic) {
            weights[{ priority, priority }] += routeWeight;
        }
        for (const auto &organisation : organisations.all()) {
            const double weight = organisation->limit.isSet() ? organisation->limit.perSecond : 1;
            weights[{ organisation->priority.value_or(priority), priority }] += routeWeight * weight;
        }
        routeWeight *= furtherRouteWeight;
    }
    return weights;
}

std::map<RequestPriority, double> ServiceMap::routeWeights() const
{
    std::set<unsigned> distinct;
    for (const Route &route : routes) {
        distinct.insert(route.priority);
    }
    std::map<RequestPriority, double> weights;
    double weight = 1;
    for (const unsigned priority : distinct) {
        weights[{ 0, priority }] = weight;
        weight *= furtherRouteWeight;
    }
    return weights;
}

Urgency ServiceMap::urgencyOfRoute(const Route &route) const
{
    return routePriorities_.urgencyOf({ 0, route.priority });
}

const PriorityOrder &ServiceMap::priorities() const
{
    return priorities_;
}

const ServiceSpec *ServiceMap::service(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace Portpaddle
