// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/version_sets.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/stream_versions/version_set_reader.h"

#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

using Json = nlohmann::json;

constexpr std::string_view keyPrefix = versionSetPrefix;
constexpr char keySeparator = '/';

} // namespace

const VersionSet *findVersionSet(const VersionSets &sets, const std::string &service, const std::string &region)
{
    const auto found = sets.find(service);
    if (found == sets.end()) {
        return nullptr;
    }
    const auto set = found->second.find(region);
    return set == found->second.end() ? nullptr : &set->second;
}

std::optional<VersionKey> soleVersion(const VersionSets &sets, const std::string &service, const std::set<std::string> &regions)
{
    std::set<std::string> open;
    for (const std::string &region : regions) {
        const VersionSet *set = findVersionSet(sets, service, region);
        if (set == nullptr || !set->complete || !set->announced.empty()) {
            return std::nullopt;
        }
        open.insert(set->open.begin(), set->open.end());
    }
    return open.size() == 1 ? std::optional(versionKeyOf(*open.begin())) : std::nullopt;
}

bool mayBeginStream(const VersionSet *set, const std::string &version)
{
    return set == nullptr || set->open.contains(version) || set->announced.contains(version);
}

std::string versionSetKey(const VersionSetPlace &place)
{
    return std::string(keyPrefix) + place.region + keySeparator + place.service;
}

std::optional<VersionSetPlace> placeOfVersionSetKey(const std::string &key)
{
    if (!key.starts_with(keyPrefix)) {
        return std::nullopt;
    }
    const std::string rest = key.substr(keyPrefix.size());
    const std::size_t at = rest.find(keySeparator);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return VersionSetPlace{ rest.substr(at + 1), rest.substr(0, at) };
}

std::string encodeVersionSet(const VersionSet &set)
{
    const Json json = { { "open", set.open }, { "announced", set.announced }, { "complete", set.complete } };
    return json.dump();
}

std::optional<VersionSet> decodeVersionSet(const std::string &text, std::uint64_t revision)
{
    try {
        const Json json = parseJsonOrThrow(text);
        VersionSet set;
        set.open = json.at("open").get<std::set<std::string>>();
        set.announced = json.at("announced").get<std::set<std::string>>();
        set.complete = json.at("complete").get<bool>();
        set.revision = revision;
        return set;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Portpaddle
