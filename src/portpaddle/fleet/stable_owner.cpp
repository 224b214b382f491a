// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/stable_owner.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Daemons learn of each other's coming and going within about two seconds; an owner that waits longer than that finds the one
// before it gone, and only daemons that are cut off may still think otherwise.
constexpr std::chrono::milliseconds settlingTime{ 3'000 };
// Many upstreams may be asked for with each request.
constexpr std::chrono::milliseconds verdictAge{ 100 };

/// No daemon that hears the news still goes by it.
bool isPast(SteadyTime until, SteadyTime now)
{
    return until != SteadyTime::max() && until + settlingTime < now;
}

} // namespace

StableOwner::StableOwner(std::string_view ownId) : self_(stableHash(ownId))
{
}

void StableOwner::setMembers(std::vector<std::uint64_t> members, SteadyTime now)
{
    std::sort(members.begin(), members.end());
    knownSince_ = std::min(knownSince_, now);
    if (!memberships_.empty()) {
        if (memberships_.back().members == members) {
            return;
        }
        memberships_.back().until = now;
    }
    while (!memberships_.empty() && isPast(memberships_.front().until, now)) {
        memberships_.pop_front();
    }
    memberships_.push_back({ std::move(members), SteadyTime::max() });
    verdicts_.clear();
}

std::optional<std::size_t> StableOwner::rankIn(const Membership &membership, std::uint64_t key) const
{
    const std::vector<std::uint64_t> &members = membership.members;
    if (!std::binary_search(members.begin(), members.end(), self_)) {
        return std::nullopt;
    }
    const double own = rendezvousScore(key, self_, 1);
    const auto before = std::count_if(members.begin(), members.end(), [&](std::uint64_t member) {
        return member != self_ && rendezvousScore(key, member, 1) >= own;
    });
    return static_cast<std::size_t>(before);
}

bool StableOwner::owns(std::uint64_t key, SteadyTime now)
{
    return isAmong(key, 1, now);
}

bool StableOwner::isAmong(std::uint64_t key, unsigned count, SteadyTime now)
{
    const auto [entry, added] = verdicts_.try_emplace(key);
    Verdict &verdict = entry->second;
    if (!added && verdict.count == count && now - verdict.at < verdictAge) {
        return verdict.isAmong;
    }
    verdict.count = count;
    verdict.at = now;
    const auto isFirst = [&](const Membership &membership) {
        const std::optional<std::size_t> rank = rankIn(membership, key);
        return isPast(membership.until, now) || (rank && *rank < count);
    };
    // Before it has settled, what a daemon knows may be the list of a fleet that is just starting.
    verdict.isAmong = knownSince_ < now - settlingTime && std::all_of(memberships_.begin(), memberships_.end(), isFirst);
    return verdict.isAmong;
}

std::size_t StableOwner::rank(std::uint64_t key) const
{
    return memberships_.empty() ? 0 : rankIn(memberships_.back(), key).value_or(memberships_.back().members.size());
}

std::size_t StableOwner::members() const
{
    return memberships_.empty() ? 0 : memberships_.back().members.size();
}

} // namespace Portpaddle
