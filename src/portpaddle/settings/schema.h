// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The keys of the settings: their types, units, bounds, defaults and the nodes that may hold them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Portpaddle {

/// The kind of node that a path of the tree denotes.
enum class NodeKind { Root, Region, DataCentre, Upstream, Service, Organisation, OrganisationService };

/// The type of a value.
enum class ValueType { Number, Integer, Boolean, Text, Choice, TextList, NumberMap };

/// The description of one settings key.
struct KeyDescription
{
    std::string_view name;
    ValueType type;
    std::string_view unit;
    double minimum;
    double maximum;
    /// The built-in default as JSON; empty when the key has no default.
    std::string_view defaultJson;
    /// The allowed values of a Choice, separated by '|'.
    std::string_view choices;
    /// A bit mask of the node kinds that may hold the key, see bitOf().
    unsigned allowedAt;
    std::string_view meaning;
};

/// Returns the stable name of @p kind.
std::string_view nameOf(NodeKind kind);
/// Returns the stable name of @p type.
std::string_view nameOf(ValueType type);
/// Returns the bit of @p kind in KeyDescription::allowedAt.
constexpr unsigned bitOf(NodeKind kind)
{
    return 1U << static_cast<unsigned>(kind);
}

/// Returns the descriptions of all keys, sorted by name.
std::span<const KeyDescription> settingsSchema();
/// Returns the key called @p name; null when there is none.
const KeyDescription *findKey(std::string_view name);
/// Returns the name of the key with the smallest edit distance to @p name.
std::string_view nearestKey(std::string_view name);
/// Returns the kind of node that @p path denotes; no value when the path is not valid.
std::optional<NodeKind> kindOfPath(std::string_view path);
/// Returns the path from which @p path inherits values; empty for the root.
std::string parentPath(std::string_view path);

} // namespace Portpaddle
