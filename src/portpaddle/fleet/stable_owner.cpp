// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/stable_owner.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Daemons learn of members that join or leave within about two seconds. If a new owner waits longer than that, the previous owner
// has given up its role, and only partitioned daemons may still assume otherwise.
constexpr std::chrono::milliseconds settlingTime{ 3'000 };
// Results are cached because every request may need them for many upstreams.
constexpr std::chrono::milliseconds cacheLifetime{ 100 };

/// Whether a list replaced at @p until is no longer used by any daemon that receives updates.
bool isExpired(SteadyTime until, SteadyTime now)
{
    return until != SteadyTime::max() && until + settlingTime < now;
}

} // namespace

StableOwner::StableOwner(std::string_view ownId) : ownHash_(stableHash(ownId))
{
}

void StableOwner::setMembers(std::vector<std::uint64_t> members, SteadyTime now)
{
    std::sort(members.begin(), members.end());
    firstListAt_ = std::min(firstListAt_, now);
    if (!memberships_.empty()) {
        if (memberships_.back().members == members) {
            return;
        }
        memberships_.back().until = now;
    }
    while (!memberships_.empty() && isExpired(memberships_.front().until, now)) {
        memberships_.pop_front();
    }
    memberships_.push_back({ std::move(members), SteadyTime::max() });
    cache_.clear();
    firsts_.clear();
}

std::optional<std::size_t> StableOwner::rankIn(const Membership &membership, std::uint64_t key) const
{
    const std::vector<std::uint64_t> &members = membership.members;
    if (!std::binary_search(members.begin(), members.end(), ownHash_)) {
        return std::nullopt;
    }
    const double own = rendezvousScore(key, ownHash_, 1);
    const auto rankedBefore = std::count_if(members.begin(), members.end(), [&](std::uint64_t member) {
        return member != ownHash_ && rendezvousScore(key, member, 1) >= own;
    });
    return static_cast<std::size_t>(rankedBefore);
}

bool StableOwner::owns(std::uint64_t key, SteadyTime now)
{
    return isAmong(key, 1, now);
}

bool StableOwner::isAmong(std::uint64_t key, unsigned count, SteadyTime now)
{
    const auto [entry, added] = cache_.try_emplace(key);
    CachedResult &result = entry->second;
    if (!added && result.count == count && now - result.at < cacheLifetime) {
        return result.isAmong;
    }
    result.count = count;
    result.at = now;
    const auto ranksHighEnough = [&](const Membership &membership) {
        const std::optional<std::size_t> rank = rankIn(membership, key);
        return isExpired(membership.until, now) || (rank && *rank < count);
    };
    // Within the settling time after the start, the list may be that of a fleet that is still starting.
    result.isAmong = firstListAt_ < now - settlingTime && std::all_of(memberships_.begin(), memberships_.end(), ranksHighEnough);
    return result.isAmong;
}

std::size_t StableOwner::rank(std::uint64_t key) const
{
    return memberships_.empty() ? 0 : rankIn(memberships_.back(), key).value_or(memberships_.back().members.size());
}

std::optional<std::uint64_t> StableOwner::first(std::uint64_t key) const
{
    if (members() == 0) {
        return std::nullopt;
    }
    const auto [entry, added] = firsts_.try_emplace(key);
    if (added) {
        const std::vector<std::uint64_t> &listed = memberships_.back().members;
        entry->second = *std::max_element(listed.begin(), listed.end(), [key](std::uint64_t one, std::uint64_t other) {
            return rendezvousScore(key, one, 1) < rendezvousScore(key, other, 1);
        });
    }
    return entry->second;
}

std::size_t StableOwner::members() const
{
    return memberships_.empty() ? 0 : memberships_.back().members.size();
}

} // namespace Portpaddle
