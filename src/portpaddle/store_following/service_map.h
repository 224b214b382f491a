// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Routes and services in force: which service a host and path lead to, and under which limits.
#pragma once

#include "portpaddle/admission/priority_order.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/limits/organisations.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// How requests of a route may be retried.
enum class RouteKind { Idempotent, NonIdempotent, Stream };
std::string_view nameOf(RouteKind kind);

/// One of the services that share a route's requests.
struct WeightedService
{
    std::string service;
    unsigned weight = 1;
};

/// One route; times as the operator configured them.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Millis timeout{ 0 };
    Millis targetLatency{ 0 };
    /// Longest allowed time between two events of a stream.
    Millis longestPause{ 0 };
    /// Maximum number of upstreams that one request may be sent to.
    unsigned attempts = 1;
    /// Zero is the most urgent.
    unsigned priority = 5;
    /// Callers need no key.
    bool isPublic = false;
    /// A stream of the route may continue at another upstream after its last event.
    bool resumable = false;
    /// Regions that may serve the route; empty means all.
    std::vector<std::string> homeRegions;
    std::vector<WeightedService> services;

    bool mayRunTwice() const;
    /// Returns how long callers wait for the first event of a stream before they leave.
    Millis firstEventTimeout() const;
    bool allowsRegion(std::string_view region) const;
    /// Returns the service for a request; the same @p requestHash gives the same service.
    const std::string &serviceFor(std::uint64_t requestHash) const;
};

/// Configured properties of the upstreams of one service.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    /// Connections that one upstream accepts from all daemons together.
    unsigned connectionLimit = 0;
    Millis coldStart{ 0 };
    /// Requests a second that a cold upstream sustains; zero means no bound.
    double coldPerSecond = 0;
    /// Zero where the service is not a model engine.
    std::uint64_t memoryTokens = 0;
    unsigned tokensPerEvent = 1;
    /// Engines of the service move the memory of runs to each other.
    bool movesMemory = false;
    /// Memory of one token in an engine; zero where engines do not fetch cached parts from each other.
    double memoryBytesPerToken = 0;
    /// Bandwidth of the links between the engines, in megabits a second.
    double memoryLinkMbps = 0;
    bool isModelEngine() const;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    Millis headerTimeout{ 3'000 };
    Millis idleTimeout{ 15'000 };
};

/// One version of the operator's configuration.
class ServiceMap
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, ServiceSpec> services;
    CallerLimits limits;
    /// Where there are none, callers need no key.
    OrganisationTable organisations;

    /// Builds the index; call once after filling the fields.
    void index();
    /// Returns the route with the longest prefix of @p path among those of @p host; null when there is none.
    const Route *find(std::string_view host, std::string_view path) const;
    const ServiceSpec *service(const std::string &name) const;
    /// Returns the priority of the requests of @p organisation, which may be null, on @p route.
    static RequestPriority priorityOf(const Route &route, const Organisation *organisation);
    /// Returns the class of the requests on @p route among those of the same organisation.
    Urgency urgencyOfRoute(const Route &route) const;
    /// Returns the order of all priorities in force.
    const PriorityOrder &priorities() const;

private:
    std::map<RequestPriority, double> priorityWeights() const;
    std::map<RequestPriority, double> routeWeights() const;

    PriorityOrder priorities_;
    /// The order of the routes alone.
    PriorityOrder routePriorities_;
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

} // namespace Portpaddle
