// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The organisations of a configuration, found by their API keys.
#pragma once

#include "portpaddle/base/digest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// The unit in which an organisation's limit is counted.
enum class LimitUnit { Requests, Tokens };
std::string_view nameOf(LimitUnit unit);

/// What all daemons together may admit for one organisation.
struct OrganisationLimit
{
    LimitUnit unit = LimitUnit::Requests;
    /// Units a second; 0 means no limit.
    double perSecond = 0;
    /// Units that may be admitted at once in addition.
    double burst = 0;
    /// Tokens that are charged for a request without token counts.
    double plainTokens = 0;

    bool isSet() const;
    /// Returns the units that are charged for a request; @p tokens is 0 if it has no token counts.
    double costOf(double tokens) const;
};

/// Returns whether @p region is one of @p homes; an empty list means all regions.
bool isHome(const std::vector<std::string> &homes, std::string_view region);

/// An organisation whose callers are served.
struct Organisation
{
    std::string name;
    /// Takes precedence over the priority of the route, which decides among organisations of one priority.
    std::optional<unsigned> priority;
    OrganisationLimit limit;
    /// Regions that may serve it; empty means all.
    std::vector<std::string> homeRegions;

    bool allowsRegion(std::string_view region) const;
};

/// Limits on the content of one configuration; a larger configuration is rejected as a whole.
inline constexpr std::size_t maxOrganisations = 10'000;
inline constexpr std::size_t maxKeys = 100'000;
inline constexpr std::size_t longestKey = 512;

/// Is filled once and only read afterwards. Stores keyed digests instead of the keys.
class OrganisationTable
{
public:
    /// Throws std::invalid_argument if the name is already in use, a key belongs to another organisation, or a limit is exceeded.
    void add(Organisation organisation, const std::vector<std::string> &keys);
    bool empty() const;
    const std::vector<std::shared_ptr<const Organisation>> &all() const;
    /// Returns the organisation whose key the value of an Authorization header holds; null if there is none.
    const Organisation *findByAuthorization(std::string_view authorization) const;
    const Organisation *findByName(std::string_view name) const;

private:
    struct KeyEntry
    {
        MessageCode digest;
        const Organisation *organisation = nullptr;
    };

    std::vector<std::shared_ptr<const Organisation>> all_;
    std::unordered_map<std::string, const Organisation *> byName_;
    /// Entries by the first bytes of their digest.
    std::unordered_map<std::uint64_t, KeyEntry> byKey_;
};

} // namespace Portpaddle
