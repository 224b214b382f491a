// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The keys that settings may hold: type, unit, bounds, default and where each may stand.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Portpaddle {

/// What a path of the tree denotes.
enum class NodeKind { Root, Region, DataCentre, Upstream, Service, Organisation, OrganisationService };

/// How a value is written.
enum class ValueType { Number, Integer, Boolean, Text, Choice, TextList, NumberMap };

/// One key of the settings.
struct KeyDescription
{
    std::string_view name;
    ValueType type;
    std::string_view unit;
    double minimum;
    double maximum;
    /// The built-in default as JSON; empty when the key has none.
    std::string_view defaultJson;
    /// Allowed words of a Choice, separated by '|'.
    std::string_view choices;
    /// Bits of the node kinds that may hold the key.
    unsigned allowedAt;
    std::string_view meaning;
};

/// The stable name of @p kind.
std::string_view nameOf(NodeKind kind);
/// The stable name of @p type.
std::string_view nameOf(ValueType type);
/// The bit of @p kind in KeyDescription::allowedAt.
constexpr unsigned bitOf(NodeKind kind)
{
    return 1U << static_cast<unsigned>(kind);
}

/// Every key, sorted by name.
std::span<const KeyDescription> settingsSchema();
/// The key with this name; null when there is none.
const KeyDescription *findKey(std::string_view name);
/// The known key that resembles @p name most.
std::string_view nearestKey(std::string_view name);
/// What @p path denotes; no value when it is not a path of the tree.
std::optional<NodeKind> kindOfPath(std::string_view path);
/// The path above @p path that values are inherited from; empty above the root.
std::string parentPath(std::string_view path);

} // namespace Portpaddle
