// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/checker.h"

#include "portpaddle/base/socket_address.h"
#include "portpaddle/settings/schema.h"
#include "portpaddle/settings/tree.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

using Problems = std::vector<SettingsProblem>;

constexpr std::size_t maxValueTextLength = 80;

std::string valueText(const nlohmann::json &value)
{
    const std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.size() <= maxValueTextLength ? text : text.substr(0, maxValueTextLength) + "...";
}

bool isListOfTexts(const nlohmann::json &value)
{
    return value.is_array()
        && std::all_of(value.begin(), value.end(), [](const nlohmann::json &item) { return item.is_string(); });
}

bool isChoice(const KeyDescription &key, const nlohmann::json &value)
{
    if (!value.is_string()) {
        return false;
    }
    const std::string padded = fmt::format("|{}|", key.choices);
    const std::string choice = value.get<std::string>();
    return choice.find('|') == std::string::npos && padded.find(fmt::format("|{}|", choice)) != std::string::npos;
}

bool isInBounds(const KeyDescription &key, const nlohmann::json &value)
{
    return value.is_number() && value.get<double>() >= key.minimum && value.get<double>() <= key.maximum;
}

bool isMapOfNumbers(const KeyDescription &key, const nlohmann::json &value)
{
    return value.is_object()
        && std::all_of(value.begin(), value.end(), [&](const nlohmann::json &item) { return isInBounds(key, item); });
}

bool isValid(const KeyDescription &key, const nlohmann::json &value)
{
    switch (key.type) {
    case ValueType::Number:
        return isInBounds(key, value);
    case ValueType::Integer:
        return value.is_number_integer() && isInBounds(key, value);
    case ValueType::Boolean:
        return value.is_boolean();
    case ValueType::Text:
        return value.is_string();
    case ValueType::Choice:
        return isChoice(key, value);
    case ValueType::TextList:
        return isListOfTexts(value);
    case ValueType::NumberMap:
        return isMapOfNumbers(key, value);
    }
    return false;
}

std::string allowedText(const KeyDescription &key)
{
    switch (key.type) {
    case ValueType::Number:
    case ValueType::Integer:
    case ValueType::NumberMap:
        return fmt::format("{} from {} to {} {}", nameOf(key.type), key.minimum, key.maximum, key.unit);
    case ValueType::Choice:
        return fmt::format("one of {}", key.choices);
    default:
        return fmt::format("{} {}", nameOf(key.type), key.unit);
    }
}

void checkValue(const std::string &path, NodeKind kind, const std::string &name, const nlohmann::json &value, Problems &problems)
{
    const KeyDescription *key = findKey(name);
    if (key == nullptr) {
        problems.push_back({ path, name, "an unknown key", fmt::format("the nearest known key is '{}'", nearestKey(name)) });
        return;
    }
    if ((key->allowedAt & bitOf(kind)) == 0) {
        problems.push_back(
            { path, name, fmt::format("the key at a node of kind {}", nameOf(kind)), "see the settings reference" });
        return;
    }
    if (!isValid(*key, value)) {
        problems.push_back({ path, name, valueText(value), allowedText(*key) });
    }
}

std::set<std::string> nodeNames(const SettingsTree &tree, NodeKind kind)
{
    std::set<std::string> names;
    for (const auto &[path, node] : tree.nodes()) {
        if (kindOfPath(path) == kind) {
            names.insert(path.substr(path.rfind('/') + 1));
        }
    }
    return names;
}

void checkParents(const SettingsTree &tree, const std::string &path, Problems &problems)
{
    const std::string parent = parentPath(path);
    if (!parent.empty() && parent != "/" && tree.nodes().count(parent) == 0) {
        problems.push_back({ path, "", "a node without its parent", fmt::format("add {} as well", parent) });
    }
}

void checkUpstream(const SettingsTree &tree, const std::string &path, const SettingsTree::Node &node, Problems &problems)
{
    const auto address = node.find("address");
    if (address == node.end() || !address->second.value.is_string()
        || !isOk(parseSocketAddress(address->second.value.get<std::string>()))) {
        const std::string found = address == node.end() ? "nothing" : valueText(address->second.value);
        problems.push_back({ path, "address", found, "an IP address and a port, like 10.0.0.1:8000" });
    }
    const auto services = node.find("services");
    if (services == node.end() || !isListOfTexts(services->second.value)) {
        return;
    }
    const std::set<std::string> known = nodeNames(tree, NodeKind::Service);
    for (const nlohmann::json &item : services->second.value) {
        const std::string text = item.get<std::string>();
        const std::string name = text.substr(0, text.find('@'));
        if (known.count(name) == 0) {
            problems.push_back({ path, "services", valueText(item), "a service that has a node below /services" });
        }
    }
}

void checkResidency(const SettingsTree &tree, const std::string &path, const SettingsTree::Node &node, Problems &problems)
{
    const auto residency = node.find("residency");
    if (residency == node.end() || !isListOfTexts(residency->second.value)) {
        return;
    }
    const std::set<std::string> regions = nodeNames(tree, NodeKind::Region);
    for (const nlohmann::json &item : residency->second.value) {
        if (regions.count(item.get<std::string>()) == 0) {
            problems.push_back({ path, "residency", valueText(item), "a region that has a node below /regions" });
        }
    }
}

/// Returns the regions in which at least one upstream offers @p service.
std::set<std::string> regionsServing(const SettingsTree &tree, const std::string &service)
{
    std::set<std::string> regions;
    for (const auto &[path, node] : tree.nodes()) {
        const auto services = node.find("services");
        if (kindOfPath(path) != NodeKind::Upstream || services == node.end() || !isListOfTexts(services->second.value)) {
            continue;
        }
        for (const nlohmann::json &item : services->second.value) {
            const std::string text = item.get<std::string>();
            if (text.substr(0, text.find('@')) == service) {
                const std::size_t begin = std::string("/regions/").size();
                regions.insert(path.substr(begin, path.find('/', begin) - begin));
            }
        }
    }
    return regions;
}

void checkResidencyIsServed(const SettingsTree &tree, const std::string &path, Problems &problems)
{
    if (kindOfPath(path) != NodeKind::OrganisationService && kindOfPath(path) != NodeKind::Service) {
        return;
    }
    const std::string service = path.substr(path.rfind('/') + 1);
    const nlohmann::json residency = tree.resolve(path, "residency").value;
    const std::set<std::string> servingRegions = regionsServing(tree, service);
    if (!isListOfTexts(residency) || residency.empty() || servingRegions.empty()) {
        return;
    }
    const bool isServed = std::any_of(residency.begin(), residency.end(), [&](const nlohmann::json &region) {
        return servingRegions.count(region.get<std::string>()) != 0;
    });
    if (!isServed) {
        problems.push_back(
            { path, "residency", valueText(residency), "at least one region in which an upstream offers the service" });
    }
}

void checkWeights(const SettingsTree &tree, const std::string &path, Problems &problems)
{
    double sum = 0;
    for (const char *key : { "cost_weight", "latency_weight", "away_weight" }) {
        const nlohmann::json value = tree.resolve(path, key).value;
        sum += value.is_number() ? value.get<double>() : 0;
    }
    if (sum <= 0) {
        problems.push_back({ path, "cost_weight, latency_weight, away_weight", "weights that sum to 0", "at least one above 0" });
    }
}

void checkAtMostOnce(const std::string &path, const SettingsTree::Node &node, Problems &problems)
{
    const auto list = node.find("at_most_once");
    if (list == node.end() || !isListOfTexts(list->second.value)) {
        return;
    }
    for (const nlohmann::json &item : list->second.value) {
        const std::string text = item.get<std::string>();
        const std::size_t space = text.find(' ');
        if (space == 0 || space == std::string::npos || text[space + 1] != '/') {
            problems.push_back(
                { path, "at_most_once", valueText(item), "a method, one space and a path, like \"POST /loads/confirm\"" });
        }
    }
}

} // namespace

std::vector<SettingsProblem> checkSettings(const SettingsTree &tree)
{
    Problems problems;
    for (const auto &[path, node] : tree.nodes()) {
        const std::optional<NodeKind> kind = kindOfPath(path);
        if (!kind) {
            problems.push_back({ path, "", "an unknown path",
                                 "/, /regions/R, /regions/R/data_centres/D, /regions/R/data_centres/D/upstreams/U, /services/S, "
                                 "/organisations/O or /organisations/O/services/S" });
            continue;
        }
        for (const auto &[key, value] : node) {
            checkValue(path, *kind, key, value.value, problems);
        }
        checkParents(tree, path, problems);
        checkResidency(tree, path, node, problems);
        checkResidencyIsServed(tree, path, problems);
        checkWeights(tree, path, problems);
        checkAtMostOnce(path, node, problems);
        if (*kind == NodeKind::Upstream) {
            checkUpstream(tree, path, node, problems);
        }
        if (*kind == NodeKind::OrganisationService && tree.nodes().count("/services/" + path.substr(path.rfind('/') + 1)) == 0) {
            problems.push_back({ path, "", "a service that does not exist", "a service that has a node below /services" });
        }
    }
    return problems;
}

std::string describe(const SettingsProblem &problem)
{
    return fmt::format("{}{}{}: found {}; allowed: {}", problem.path, problem.key.empty() ? "" : " ", problem.key, problem.found,
                       problem.allowed);
}

} // namespace Portpaddle
