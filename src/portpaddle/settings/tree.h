// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The tree of settings: values at paths, which nodes inherit from their ancestors unless they override them.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Portpaddle {

/// A value and the version of the settings in which it was set.
struct SettingValue
{
    nlohmann::json value;
    std::uint64_t version = 0;
};

/// A value and the path of the node that holds it; for a default the path is "built-in" and the version 0.
struct ResolvedValue
{
    nlohmann::json value;
    std::string path;
    std::uint64_t version = 0;
};

/// A change of one key. A null value removes the key. With an empty key, null removes the node, any other value creates it.
struct PatchEntry
{
    std::string path;
    std::string key;
    nlohmann::json value;
};

/// Changes that are accepted or rejected together.
using SettingsPatch = std::vector<PatchEntry>;

/// All settings of one version. Immutable.
class SettingsTree
{
public:
    using Node = std::map<std::string, SettingValue>;

    std::uint64_t version() const;
    const std::map<std::string, Node> &nodes() const;
    /// Returns the first value of @p key along @p chain, or the built-in default when no path of the chain has one.
    ResolvedValue resolve(std::span<const std::string> chain, const std::string &key) const;
    /// Resolves @p key at @p path and its ancestors.
    ResolvedValue resolve(const std::string &path, const std::string &key) const;
    /// Returns a copy of this tree with @p patch applied as version @p version.
    SettingsTree with(const SettingsPatch &patch, std::uint64_t version) const;
    /// Returns the patch that changes this tree into @p target.
    SettingsPatch differenceTo(const SettingsTree &target) const;

    nlohmann::json toSnapshot() const;
    static Result<SettingsTree> fromSnapshot(const std::string &text);

private:
    std::uint64_t version_ = 0;
    std::map<std::string, Node> nodes_;
};

/// Returns @p path and all its ancestors, nearest first.
std::vector<std::string> inheritanceChain(const std::string &path);
/// Parses settings written as JSON with comments; errors name @p source and the line.
Result<SettingsPatch> parseSettings(const std::string &text, const std::string &source);
/// Parses JSON with comments; errors name @p source and the line.
Result<nlohmann::json> parseJsonWithComments(const std::string &text, const std::string &source);
nlohmann::json patchToJson(const SettingsPatch &patch);
SettingsPatch patchFromJson(const nlohmann::json &json);

} // namespace Portpaddle
