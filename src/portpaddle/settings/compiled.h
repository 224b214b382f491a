// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The settings in the form used by the request path: typed, resolved and indexed by name.
#pragma once

#include "portpaddle/settings/tree.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// The urgency of a request.
enum class RequestClass { Interactive, Deferrable };
/// The kind of upstreams that serve a service.
enum class ServiceKind { Model, Plain };

std::string_view nameOf(RequestClass value);
std::string_view nameOf(ServiceKind value);

/// An effective value together with the path and version that set it.
struct SettingOrigin
{
    std::string key;
    std::string value;
    std::string path;
    std::uint64_t version = 0;
};

/// The effective settings for requests of one organisation to one service in one data centre.
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
    /// The allowed regions, sorted; an empty list allows every region.
    std::vector<std::string> residency;
    std::vector<SettingOrigin> origins;

    bool allowsRegion(const std::string &region) const;
    /// Returns the origin of @p key; null when the key is not part of a policy.
    const SettingOrigin *originOf(std::string_view key) const;
};

/// The settings of a service that the request path uses.
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

/// A service offered by an upstream, with its version.
struct OfferedService
{
    std::string name;
    std::string version;
};

/// An upstream that is listed in the settings.
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

/// The location of a daemon.
struct Place
{
    std::string region;
    std::string dataCentre;
};

/// One version of the settings, compiled for one place. Immutable: each new version is compiled into a new object.
class CompiledSettings
{
public:
    static std::shared_ptr<const CompiledSettings> compile(const SettingsTree &tree, const Place &place);

    std::uint64_t version() const;
    const SettingsTree &tree() const;
    const Place &place() const;
    const ServiceSettings *service(const std::string &name) const;
    /// Returns the plain service with the longest path prefix that matches @p path; null when none matches.
    const ServiceSettings *serviceForPath(const std::string &path) const;
    const std::vector<ServiceSettings> &services() const;
    const std::vector<UpstreamSettings> &upstreams() const;
    bool hasOrganisation(const std::string &name) const;
    /// Returns the policy of @p organisation for @p service. Organisations without a node get the policy of the service, unknown
    /// services that of the place and the root.
    const RequestPolicy &policy(const std::string &organisation, const std::string &service) const;
    /// Returns the one-way latency between two regions in milliseconds.
    double linkMs(const std::string &from, const std::string &to) const;
    /// Returns the region of @p dataCentre; empty when the data centre is unknown.
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

/// Returns the paths whose values apply to a request, most specific first.
std::vector<std::string> requestChain(const std::string &organisation, const std::string &service, const Place &place);

} // namespace Portpaddle
