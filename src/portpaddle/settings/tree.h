// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The tree of settings: values at paths, inherited downward unless overridden.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Portpaddle {

/// A value and the version of the settings that set it.
struct SettingValue
{
    nlohmann::json value;
    std::uint64_t version = 0;
};

/// A value with the node it came from; the version is zero and the path "built-in" for a default.
struct ResolvedValue
{
    nlohmann::json value;
    std::string path;
    std::uint64_t version = 0;
};

/// One change of a key; a null value removes it, an empty key removes the whole node.
struct PatchEntry
{
    std::string path;
    std::string key;
    nlohmann::json value;
};

/// Changes that are accepted or refused together.
using SettingsPatch = std::vector<PatchEntry>;

/// An immutable version of all settings.
class SettingsTree
{
public:
    using Node = std::map<std::string, SettingValue>;

    std::uint64_t version() const;
    const std::map<std::string, Node> &nodes() const;
    /// The first value found along @p chain of paths, then the built-in default.
    ResolvedValue resolve(std::span<const std::string> chain, const std::string &key) const;
    /// Resolves from @p path upward.
    ResolvedValue resolve(const std::string &path, const std::string &key) const;
    /// This tree with @p patch applied as version @p version.
    SettingsTree with(const SettingsPatch &patch, std::uint64_t version) const;
    /// The patch that turns this tree into @p target.
    SettingsPatch differenceTo(const SettingsTree &target) const;

    nlohmann::json toSnapshot() const;
    static Result<SettingsTree> fromSnapshot(const std::string &text);

private:
    std::uint64_t version_ = 0;
    std::map<std::string, Node> nodes_;
};

/// The path and all its ancestors, nearest first.
std::vector<std::string> inheritanceChain(const std::string &path);
/// Reads settings written as JSON with comments; errors name @p source and the line.
Result<SettingsPatch> parseSettings(const std::string &text, const std::string &source);
/// Parses JSON with comments; errors name @p source and the line.
Result<nlohmann::json> parseJsonWithComments(const std::string &text, const std::string &source);
nlohmann::json patchToJson(const SettingsPatch &patch);
SettingsPatch patchFromJson(const nlohmann::json &json);

} // namespace Portpaddle
