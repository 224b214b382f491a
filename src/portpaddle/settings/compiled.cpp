// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/compiled.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/settings/schema.h"

#include <algorithm>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr NameTable<RequestClass, 2> requestClassNames{ { "interactive", "deferrable" } };
constexpr NameTable<ServiceKind, 2> serviceKindNames{ { "model", "plain" } };
constexpr double defaultLinkMs = 50;

std::vector<std::string> stringsOf(const nlohmann::json &value)
{
    return value.is_array() ? value.get<std::vector<std::string>>() : std::vector<std::string>{};
}

/// Returns the name of the node at @p depth in @p path: in /regions/R/data_centres/D, depth 0 gives R and depth 1 gives D.
std::string nameAt(const std::string &path, int depth)
{
    std::size_t begin = path.find('/', 1) + 1;
    for (int level = 0; level < depth; ++level) {
        begin = path.find('/', path.find('/', begin) + 1) + 1;
    }
    return path.substr(begin, path.find('/', begin) - begin);
}

std::string policyKey(const std::string &organisation, const std::string &service)
{
    return organisation + '/' + service;
}

std::string linkKey(const std::string &from, const std::string &to)
{
    return from + '/' + to;
}

/// Resolves the keys of one policy and records the origin of each value.
class PolicyBuilder
{
public:
    PolicyBuilder(const SettingsTree &tree, std::vector<std::string> chain) : tree_(tree), chain_(std::move(chain))
    {
    }

    RequestPolicy build()
    {
        policy_.costWeight = resolveKey("cost_weight").get<double>();
        policy_.latencyWeight = resolveKey("latency_weight").get<double>();
        policy_.awayWeight = resolveKey("away_weight").get<double>();
        policy_.awayMarginMs = resolveKey("away_margin_ms").get<double>();
        policy_.prefillTokensPerSecond = resolveKey("prefill_tokens_per_second").get<double>();
        policy_.tokenMs = resolveKey("token_ms").get<double>();
        policy_.retryBudgetPercent = resolveKey("retry_budget_percent").get<double>();
        policy_.maxRequestsPerSecond = resolveKey("max_requests_per_second").get<double>();
        policy_.maxTokensPerSecond = resolveKey("max_tokens_per_second").get<double>();
        policy_.maxConcurrent = resolveKey("max_concurrent").get<unsigned>();
        policy_.hopLimit = resolveKey("hop_limit").get<unsigned>();
        policy_.maxAttempts = resolveKey("max_attempts").get<unsigned>();
        policy_.deadline = Millis{ resolveKey("deadline_ms").get<std::int64_t>() };
        policy_.queueLimit = Millis{ resolveKey("queue_limit_ms").get<std::int64_t>() };
        policy_.requestClass = requestClassNames.find(resolveKey("class").get<std::string>()).value_or(RequestClass::Interactive);
        policy_.version = resolveKey("version").get<std::string>();
        policy_.residency = stringsOf(resolveKey("residency"));
        std::sort(policy_.residency.begin(), policy_.residency.end());
        return std::move(policy_);
    }

private:
    nlohmann::json resolveKey(const std::string &key)
    {
        ResolvedValue resolved = tree_.resolve(chain_, key);
        policy_.origins.push_back(SettingOrigin{ key, resolved.value.dump(), resolved.path, resolved.version });
        return std::move(resolved.value);
    }

    const SettingsTree &tree_;
    std::vector<std::string> chain_;
    RequestPolicy policy_;
};

ServiceSettings compileService(const SettingsTree &tree, const std::string &path)
{
    ServiceSettings service;
    service.name = nameAt(path, 0);
    service.kind = serviceKindNames.find(tree.resolve(path, "kind").value.get<std::string>()).value_or(ServiceKind::Model);
    service.pathPrefix = tree.resolve(path, "path_prefix").value.get<std::string>();
    service.atMostOnce = stringsOf(tree.resolve(path, "at_most_once").value);
    service.retryableMethods = stringsOf(tree.resolve(path, "repeatable_methods").value);
    service.checksIdempotencyKey = tree.resolve(path, "checks_repeat_key").value.get<bool>();
    return service;
}

UpstreamSettings compileUpstream(const SettingsTree &tree, const std::string &path)
{
    UpstreamSettings upstream;
    upstream.region = nameAt(path, 0);
    upstream.dataCentre = nameAt(path, 1);
    upstream.id = nameAt(path, 2);
    upstream.address = tree.resolve(path, "address").value.get<std::string>();
    upstream.slots = tree.resolve(path, "slots").value.get<unsigned>();
    upstream.leaving = tree.resolve(path, "state").value == "leaving";
    upstream.checksFence = tree.resolve(path, "checks_fence").value.get<bool>();
    for (const std::string &text : stringsOf(tree.resolve(path, "services").value)) {
        const std::size_t at = text.find('@');
        const std::string version = at == std::string::npos ? "" : text.substr(at + 1);
        upstream.services.push_back(OfferedService{ text.substr(0, at), version });
    }
    return upstream;
}

} // namespace

std::string_view nameOf(RequestClass value)
{
    return requestClassNames[value];
}

std::string_view nameOf(ServiceKind value)
{
    return serviceKindNames[value];
}

bool RequestPolicy::allowsRegion(const std::string &region) const
{
    return residency.empty() || std::binary_search(residency.begin(), residency.end(), region);
}

const SettingOrigin *RequestPolicy::originOf(std::string_view key) const
{
    const auto found
        = std::find_if(origins.begin(), origins.end(), [&](const SettingOrigin &origin) { return origin.key == key; });
    return found == origins.end() ? nullptr : &*found;
}

bool ServiceSettings::isAtMostOnce(const std::string &method, const std::string &path) const
{
    return std::any_of(atMostOnce.begin(), atMostOnce.end(), [&](const std::string &rule) {
        const std::size_t space = rule.find(' ');
        if (rule.compare(0, space, method) != 0) {
            return false;
        }
        const std::string pattern = rule.substr(space + 1);
        const bool below = !pattern.empty() && pattern.back() == '*';
        return below ? path.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0 : path == pattern;
    });
}

bool ServiceSettings::isRetryable(const std::string &method) const
{
    return std::find(retryableMethods.begin(), retryableMethods.end(), method) != retryableMethods.end();
}

std::shared_ptr<const CompiledSettings> CompiledSettings::compile(const SettingsTree &tree, const Place &place)
{
    auto compiled = std::make_shared<CompiledSettings>();
    compiled->tree_ = tree;
    compiled->place_ = place;
    std::vector<std::string> organisations{ "" };
    for (const auto &[path, node] : tree.nodes()) {
        const std::optional<NodeKind> kind = kindOfPath(path);
        if (kind == NodeKind::Service) {
            compiled->services_.push_back(compileService(tree, path));
        } else if (kind == NodeKind::Upstream) {
            compiled->upstreams_.push_back(compileUpstream(tree, path));
        } else if (kind == NodeKind::Organisation) {
            organisations.push_back(nameAt(path, 0));
        } else if (kind == NodeKind::DataCentre) {
            compiled->regionByDataCentre_[nameAt(path, 1)] = nameAt(path, 0);
        } else if (kind == NodeKind::Region) {
            const std::string from = nameAt(path, 0);
            const ResolvedValue links = tree.resolve(path, "link_ms");
            for (const auto &[to, milliseconds] : links.value.items()) {
                compiled->links_[linkKey(from, to)] = milliseconds.get<double>();
            }
        }
    }
    for (const std::string &organisation : organisations) {
        for (const ServiceSettings &service : compiled->services_) {
            PolicyBuilder builder(compiled->tree_, requestChain(organisation, service.name, place));
            compiled->policies_.emplace(policyKey(organisation, service.name), builder.build());
        }
    }
    compiled->fallback_ = PolicyBuilder(compiled->tree_, requestChain("", "", place)).build();
    return compiled;
}

std::uint64_t CompiledSettings::version() const
{
    return tree_.version();
}

const SettingsTree &CompiledSettings::tree() const
{
    return tree_;
}

const Place &CompiledSettings::place() const
{
    return place_;
}

const ServiceSettings *CompiledSettings::service(const std::string &name) const
{
    const auto found
        = std::find_if(services_.begin(), services_.end(), [&](const ServiceSettings &service) { return service.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

const ServiceSettings *CompiledSettings::serviceForPath(const std::string &path) const
{
    const ServiceSettings *best = nullptr;
    for (const ServiceSettings &service : services_) {
        const std::string &prefix = service.pathPrefix;
        const bool covers = service.kind == ServiceKind::Plain && !prefix.empty() && path.compare(0, prefix.size(), prefix) == 0;
        if (covers && (best == nullptr || prefix.size() > best->pathPrefix.size())) {
            best = &service;
        }
    }
    return best;
}

const std::vector<ServiceSettings> &CompiledSettings::services() const
{
    return services_;
}

const std::vector<UpstreamSettings> &CompiledSettings::upstreams() const
{
    return upstreams_;
}

bool CompiledSettings::hasOrganisation(const std::string &name) const
{
    return tree_.nodes().count("/organisations/" + name) != 0;
}

const RequestPolicy &CompiledSettings::policy(const std::string &organisation, const std::string &service) const
{
    auto found = policies_.find(policyKey(organisation, service));
    if (found == policies_.end()) {
        found = policies_.find(policyKey("", service));
    }
    return found == policies_.end() ? fallback_ : found->second;
}

double CompiledSettings::linkMs(const std::string &from, const std::string &to) const
{
    if (from == to) {
        return 0;
    }
    const auto found = links_.find(linkKey(from, to));
    return found == links_.end() ? defaultLinkMs : found->second;
}

std::string CompiledSettings::regionOf(const std::string &dataCentre) const
{
    const auto found = regionByDataCentre_.find(dataCentre);
    return found == regionByDataCentre_.end() ? std::string{} : found->second;
}

std::vector<std::string> CompiledSettings::dataCentres() const
{
    std::vector<std::string> result;
    for (const auto &[name, region] : regionByDataCentre_) {
        result.push_back(name);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::string> requestChain(const std::string &organisation, const std::string &service, const Place &place)
{
    std::vector<std::string> chain;
    if (!organisation.empty() && !service.empty()) {
        chain.push_back("/organisations/" + organisation + "/services/" + service);
    }
    if (!organisation.empty()) {
        chain.push_back("/organisations/" + organisation);
    }
    if (!service.empty()) {
        chain.push_back("/services/" + service);
    }
    chain.push_back("/regions/" + place.region + "/data_centres/" + place.dataCentre);
    chain.push_back("/regions/" + place.region);
    chain.push_back("/");
    return chain;
}

} // namespace Portpaddle
