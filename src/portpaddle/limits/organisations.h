// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The organisations that a configuration knows, found by the keys that prove them.
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

/// In what an organisation's limit is counted.
enum class LimitUnit { Requests, Tokens };
std::string_view nameOf(LimitUnit unit);

/// What one organisation may ask of all daemons together.
struct OrganisationLimit
{
    LimitUnit unit = LimitUnit::Requests;
    /// Units a second; zero means no limit.
    double perSecond = 0;
    /// Units beyond that at once.
    double burst = 0;
    /// Tokens that a request without token counts stands for.
    double plainTokens = 0;

    bool isSet() const;
    /// Units that a request stands for; @p tokens is zero where it has no token counts.
    double costOf(double tokens) const;
};

/// Whether @p region is one of @p homes; none of these means all regions.
bool isHome(const std::vector<std::string> &homes, std::string_view region);

/// One organisation whose callers are served.
struct Organisation
{
    std::string name;
    /// Goes before the route's, where it is set.
    std::optional<unsigned> priority;
    OrganisationLimit limit;
    /// Regions that may serve it; empty means all.
    std::vector<std::string> homeRegions;

    bool allowsRegion(std::string_view region) const;
};

/// Bounds of what one configuration may hold; more is refused as a whole.
inline constexpr std::size_t maxOrganisations = 10'000;
inline constexpr std::size_t maxKeys = 100'000;
inline constexpr std::size_t longestKey = 512;

/// Filled once, read by all afterwards. Keeps keyed digests in place of keys.
class OrganisationTable
{
public:
    /// Throws std::invalid_argument for a name that is there already, a key of another organisation, or a bound exceeded.
    void add(Organisation organisation, const std::vector<std::string> &keys);
    bool empty() const;
    const std::vector<std::shared_ptr<const Organisation>> &all() const;
    /// The one whose key the value of an Authorization header holds; null when there is none.
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
    /// By the first bytes of the digest.
    std::unordered_map<std::uint64_t, KeyEntry> byKey_;
};

} // namespace Portpaddle
