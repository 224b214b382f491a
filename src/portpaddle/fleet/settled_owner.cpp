// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/settled_owner.h"

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

SettledOwner::SettledOwner(std::string_view ownId) : self_(stableHash(ownId))
{
}

void SettledOwner::setMembers(std::vector<std::uint64_t> members, SteadyTime now)
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

bool SettledOwner::winsIn(const Membership &membership, std::uint64_t key) const
{
    const std::vector<std::uint64_t> &members = membership.members;
    if (!std::binary_search(members.begin(), members.end(), self_)) {
        return false;
    }
    const double own = rendezvousDraw(key, self_, 1);
    return std::none_of(members.begin(), members.end(),
                        [&](std::uint64_t member) { return member != self_ && rendezvousDraw(key, member, 1) >= own; });
}

bool SettledOwner::owns(std::uint64_t key, SteadyTime now)
{
    const auto [entry, added] = verdicts_.try_emplace(key);
    Verdict &verdict = entry->second;
    if (!added && now - verdict.at < verdictAge) {
        return verdict.owner;
    }
    verdict.at = now;
    // Before it has settled, what a daemon knows may be the list of a fleet that is just starting.
    verdict.owner = knownSince_ < now - settlingTime
        && std::all_of(memberships_.begin(), memberships_.end(),
                       [&](const Membership &membership) { return isPast(membership.until, now) || winsIn(membership, key); });
    return verdict.owner;
}

} // namespace Portpaddle
