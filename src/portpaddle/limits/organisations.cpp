// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/organisations.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/base/system_clock.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace Portpaddle {

namespace {

constexpr NameTable<LimitUnit, 2> unitNames{ { "requests", "tokens" } };
constexpr std::string_view authorizationScheme = "Bearer ";
// Token counts come from callers and are not trusted; an engine's memory holds a tenth of this.
constexpr double maxTokensCounted = 10'000'000;

/// Returns a secret of this process, so that nobody outside can choose keys whose digests collide.
const std::string &digestSecret()
{
    static const std::string secret = [] {
        SeededRandom random(freshSeed());
        std::string bytes;
        for (int words = 0; words < 4; ++words) {
            bytes += std::to_string(random.next());
        }
        return bytes;
    }();
    return secret;
}

std::uint64_t prefixOf(const MessageCode &digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof prefix);
    return prefix;
}

std::string_view textOf(const MessageCode &digest)
{
    return { reinterpret_cast<const char *>(digest.data()), digest.size() };
}

} // namespace

std::string_view nameOf(LimitUnit unit)
{
    return unitNames[unit];
}

bool OrganisationLimit::isSet() const
{
    return perSecond > 0;
}

double OrganisationLimit::costOf(double tokens) const
{
    if (unit == LimitUnit::Requests) {
        return 1;
    }
    return tokens > 0 ? std::min(tokens, maxTokensCounted) : plainTokens;
}

bool isHome(const std::vector<std::string> &homes, std::string_view region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

bool Organisation::allowsRegion(std::string_view region) const
{
    return isHome(homeRegions, region);
}

void OrganisationTable::add(Organisation organisation, const std::vector<std::string> &keys)
{
    if (all_.size() >= maxOrganisations || byKey_.size() + keys.size() > maxKeys) {
        throw std::invalid_argument("too many organisations or keys");
    }
    all_.push_back(std::make_shared<const Organisation>(std::move(organisation)));
    const Organisation *added = all_.back().get();
    if (!byName_.emplace(added->name, added).second) {
        throw std::invalid_argument("organisation " + added->name + " is configured twice");
    }
    for (const std::string &key : keys) {
        if (key.empty() || key.size() > longestKey) {
            throw std::invalid_argument("a key of organisation " + added->name + " is empty or too long");
        }
        const MessageCode digest = messageCode(digestSecret(), key);
        const auto [entry, isNew] = byKey_.try_emplace(prefixOf(digest), KeyEntry{ digest, added });
        if (!isNew && entry->second.organisation != added) {
            throw std::invalid_argument("a key of organisation " + added->name + " belongs to another organisation");
        }
    }
}

bool OrganisationTable::empty() const
{
    return all_.empty();
}

const std::vector<std::shared_ptr<const Organisation>> &OrganisationTable::all() const
{
    return all_;
}

const Organisation *OrganisationTable::findByAuthorization(std::string_view authorization) const
{
    const std::string_view given = authorization.substr(0, authorizationScheme.size());
    if (!boost::beast::iequals({ given.data(), given.size() }, { authorizationScheme.data(), authorizationScheme.size() })) {
        return nullptr;
    }
    const std::string_view key = authorization.substr(authorizationScheme.size());
    if (key.empty() || key.size() > longestKey) {
        return nullptr;
    }
    const MessageCode digest = messageCode(digestSecret(), key);
    const auto found = byKey_.find(prefixOf(digest));
    const bool matches = found != byKey_.end() && equalInConstantTime(textOf(found->second.digest), textOf(digest));
    return matches ? found->second.organisation : nullptr;
}

const Organisation *OrganisationTable::findByName(std::string_view name) const
{
    const auto found = byName_.find(std::string(name));
    return found == byName_.end() ? nullptr : found->second;
}

} // namespace Portpaddle
