// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/tree.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/settings/schema.h"

#include <algorithm>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

nlohmann::json builtInDefault(const std::string &key)
{
    const KeyDescription *description = findKey(key);
    if (description == nullptr || description->defaultJson.empty()) {
        return nullptr;
    }
    return nlohmann::json::parse(description->defaultJson);
}

Error invalid(std::string message)
{
    return Error{ ErrorCode::SettingsInvalid, std::move(message), RunState::NotRun, std::nullopt };
}

/// Finds members that appear twice in one object; the JSON parser itself would silently keep only the last of them.
class DuplicateMemberDetector
{
public:
    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        const auto level = static_cast<std::size_t>(depth);
        if (event == Event::object_start) {
            seen_.resize(std::max(seen_.size(), level + 2));
            seen_[level + 1].clear();
        }
        if (event == Event::key) {
            seen_.resize(std::max(seen_.size(), level + 1));
            const std::string name = parsed.get<std::string>();
            if (std::find(seen_[level].begin(), seen_[level].end(), name) != seen_[level].end()) {
                duplicate_ = name;
            }
            seen_[level].push_back(name);
        }
        return true;
    }

    const std::string &duplicate() const
    {
        return duplicate_;
    }

private:
    std::vector<std::vector<std::string>> seen_;
    std::string duplicate_;
};

} // namespace

std::uint64_t SettingsTree::version() const
{
    return version_;
}

const std::map<std::string, SettingsTree::Node> &SettingsTree::nodes() const
{
    return nodes_;
}

ResolvedValue SettingsTree::resolve(std::span<const std::string> chain, const std::string &key) const
{
    for (const std::string &path : chain) {
        const auto node = nodes_.find(path);
        if (node == nodes_.end()) {
            continue;
        }
        const auto value = node->second.find(key);
        if (value != node->second.end()) {
            return ResolvedValue{ value->second.value, path, value->second.version };
        }
    }
    return ResolvedValue{ builtInDefault(key), "built-in", 0 };
}

ResolvedValue SettingsTree::resolve(const std::string &path, const std::string &key) const
{
    return resolve(inheritanceChain(path), key);
}

SettingsTree SettingsTree::with(const SettingsPatch &patch, std::uint64_t version) const
{
    SettingsTree result = *this;
    result.version_ = version;
    for (const PatchEntry &entry : patch) {
        if (entry.key.empty()) {
            if (entry.value.is_null()) {
                result.nodes_.erase(entry.path);
            } else {
                result.nodes_[entry.path];
            }
            continue;
        }
        Node &node = result.nodes_[entry.path];
        if (entry.value.is_null()) {
            node.erase(entry.key);
        } else {
            node[entry.key] = SettingValue{ entry.value, version };
        }
    }
    return result;
}

SettingsPatch SettingsTree::differenceTo(const SettingsTree &target) const
{
    SettingsPatch patch;
    for (const auto &[path, node] : nodes_) {
        const auto other = target.nodes_.find(path);
        if (other == target.nodes_.end()) {
            patch.push_back(PatchEntry{ path, {}, nullptr });
            continue;
        }
        for (const auto &[key, value] : node) {
            if (other->second.count(key) == 0) {
                patch.push_back(PatchEntry{ path, key, nullptr });
            }
        }
    }
    for (const auto &[path, node] : target.nodes_) {
        const auto mine = nodes_.find(path);
        if (mine == nodes_.end() && node.empty()) {
            patch.push_back(PatchEntry{ path, {}, nlohmann::json::object() });
        }
        for (const auto &[key, value] : node) {
            const bool same = mine != nodes_.end() && mine->second.count(key) != 0 && mine->second.at(key).value == value.value;
            if (!same) {
                patch.push_back(PatchEntry{ path, key, value.value });
            }
        }
    }
    return patch;
}

nlohmann::json SettingsTree::toSnapshot() const
{
    nlohmann::json nodes = nlohmann::json::object();
    for (const auto &[path, node] : nodes_) {
        nlohmann::json &target = nodes[path] = nlohmann::json::object();
        for (const auto &[key, value] : node) {
            target[key] = { { "value", value.value }, { "version", value.version } };
        }
    }
    return { { "version", version_ }, { "nodes", nodes } };
}

Result<SettingsTree> SettingsTree::fromSnapshot(const std::string &text)
{
    const nlohmann::json json = parseJson(text);
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned() || !json.contains("nodes")) {
        return invalid("the settings snapshot cannot be read");
    }
    SettingsTree tree;
    tree.version_ = json["version"].get<std::uint64_t>();
    for (const auto &[path, node] : json["nodes"].items()) {
        Node &target = tree.nodes_[path];
        for (const auto &[key, value] : node.items()) {
            if (!value.is_object() || !value.contains("value") || !value.contains("version")) {
                return invalid(fmt::format("the settings snapshot cannot be read at {} {}", path, key));
            }
            target[key] = SettingValue{ value["value"], value["version"].get<std::uint64_t>() };
        }
    }
    return tree;
}

std::vector<std::string> inheritanceChain(const std::string &path)
{
    std::vector<std::string> chain;
    for (std::string current = path; !current.empty(); current = parentPath(current)) {
        chain.push_back(current);
    }
    return chain;
}

Result<nlohmann::json> parseJsonWithComments(const std::string &text, const std::string &source)
{
    constexpr bool allowExceptions = true;
    constexpr bool ignoreComments = true;
    DuplicateMemberDetector duplicates;
    try {
        auto callback = [&](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
            return duplicates(depth, event, parsed);
        };
        nlohmann::json json = nlohmann::json::parse(text, callback, allowExceptions, ignoreComments);
        if (!duplicates.duplicate().empty()) {
            return invalid(fmt::format("{}: '{}' appears twice in one object", source, duplicates.duplicate()));
        }
        return json;
    } catch (const nlohmann::json::parse_error &error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        return invalid(fmt::format("{}:{}: not valid JSON: {}", source, 1 + std::count(text.begin(), end, '\n'), error.what()));
    }
}

Result<SettingsPatch> parseSettings(const std::string &text, const std::string &source)
{
    const Result<nlohmann::json> parsed = parseJsonWithComments(text, source);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    const nlohmann::json &json = valueOf(parsed);
    if (!json.is_object()) {
        return invalid(fmt::format("{}: found {}, expected an object of paths", source, json.type_name()));
    }
    for (const auto &[path, node] : json.items()) {
        if (!node.is_object() && !node.is_null()) {
            return invalid(fmt::format("{}: {}: found {}, expected an object of keys, or null to remove the node", source, path,
                                       node.type_name()));
        }
    }
    return patchFromJson(json);
}

nlohmann::json patchToJson(const SettingsPatch &patch)
{
    nlohmann::json json = nlohmann::json::object();
    for (const PatchEntry &entry : patch) {
        if (entry.key.empty()) {
            json[entry.path] = entry.value;
        } else {
            json[entry.path][entry.key] = entry.value;
        }
    }
    return json;
}

SettingsPatch patchFromJson(const nlohmann::json &json)
{
    SettingsPatch patch;
    for (const auto &[path, node] : json.items()) {
        if (node.is_null() || node.empty()) {
            patch.push_back(PatchEntry{ path, {}, node });
            continue;
        }
        for (const auto &[key, value] : node.items()) {
            patch.push_back(PatchEntry{ path, key, value });
        }
    }
    return patch;
}

} // namespace Portpaddle
