// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The settings as the request path reads them: typed, resolved and indexed by name.
#pragma once

#include "portpaddle/settings/tree.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// How urgent a request is.
enum class RequestClass { Interactive, Deferrable };
/// What kind of upstream a service has.
enum class ServiceKind { Model, Plain };

std::string_view nameOf(RequestClass value);
std::string_view nameOf(ServiceKind value);

/// Where one effective value came from.
struct SettingOrigin
{
    std::string key;
    std::string value;
    std::string path;
    std::uint64_t version = 0;
};

/// Everything in force for the requests of one organisation to one service, seen from one data centre.
struct RequestPolicy
{
    double costWeight = 1;
    double latencyWeight = 1;
    double awayWeight = 1;
    double awayMarginMs = 20;
    double prefillTokensPerSecond = 20'000;
    double tokenMs = 20;
    double retryBudgetPercent = 10;
    double maxRequestsPerSecond = 0;
    double maxTokensPerSecond = 0;
    unsigned maxConcurrent = 0;
    unsigned hopLimit = 2;
    unsigned maxAttempts = 3;
    Millis deadline{ 120'000 };
    Millis queueLimit{ 2'000 };
    RequestClass requestClass = RequestClass::Interactive;
    std::string version;
    /// Sorted; empty allows every region.
    std::vector<std::string> residency;
    std::vector<SettingOrigin> origins;

    bool allowsRegion(const std::string &region) const;
    /// Null when the key plays no part in a policy.
    const SettingOrigin *originOf(std::string_view key) const;
};

/// A service as the request path needs it.
struct ServiceSettings
{
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string pathPrefix;
    std::vector<std::string> atMostOnce;
    std::vector<std::string> retryableMethods;
    bool checksIdempotencyKey = false;

    bool isAtMostOnce(const std::string &method, const std::string &path) const;
    bool isRetryable(const std::string &method) const;
};

/// A service that an upstream offers.
struct OfferedService
{
    std::string name;
    std::string version;
};

/// An upstream as the settings describe it.
struct UpstreamSettings
{
    std::string id;
    std::string region;
    std::string dataCentre;
    std::string address;
    unsigned slots = 8;
    bool leaving = false;
    bool checksFence = true;
    std::vector<OfferedService> services;
};

/// The place of a daemon.
struct Place
{
    std::string region;
    std::string dataCentre;
};

/// Immutable; made anew for each version.
class CompiledSettings
{
public:
    static std::shared_ptr<const CompiledSettings> compile(const SettingsTree &tree, const Place &place);

    std::uint64_t version() const;
    const SettingsTree &tree() const;
    const Place &place() const;
    const ServiceSettings *service(const std::string &name) const;
    /// The plain service whose prefix is the longest that @p path begins with.
    const ServiceSettings *serviceForPath(const std::string &path) const;
    const std::vector<ServiceSettings> &services() const;
    const std::vector<UpstreamSettings> &upstreams() const;
    bool hasOrganisation(const std::string &name) const;
    /// Never null: organisations without a node get what the service and the root say.
    const RequestPolicy &policy(const std::string &organisation, const std::string &service) const;
    /// One-way time between two regions.
    double linkMs(const std::string &from, const std::string &to) const;
    /// The region of a data centre; empty when unknown.
    std::string regionOf(const std::string &dataCentre) const;
    std::vector<std::string> dataCentres() const;

private:
    SettingsTree tree_;
    Place place_;
    std::vector<ServiceSettings> services_;
    std::vector<UpstreamSettings> upstreams_;
    std::unordered_map<std::string, RequestPolicy> policies_;
    std::unordered_map<std::string, std::string> regionByDataCentre_;
    std::unordered_map<std::string, double> links_;
    RequestPolicy fallback_;
};

/// The paths whose values apply to a request, most specific first.
std::vector<std::string> requestChain(const std::string &organisation, const std::string &service, const Place &place);

} // namespace Portpaddle
