// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemon of a region may spend a bound that is too small to be divided among all of them.
#pragma once

#include "portpaddle/net/asio.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Names one daemon for each key by rendezvous hashing over the daemons known. Belongs to one event loop.
class SettledOwner
{
public:
    explicit SettledOwner(std::string_view ownId);

    /// The daemons of the region now, by the hashes of their ids.
    void setMembers(std::vector<std::uint64_t> members, SteadyTime now);
    /// Whether this daemon was the owner of @p key by every list of daemons that was in force within the settling time.
    bool owns(std::uint64_t key, SteadyTime now);

private:
    struct Membership
    {
        std::vector<std::uint64_t> members;
        /// When another one replaced it; the newest is in force.
        SteadyTime until;
    };

    struct Verdict
    {
        bool owner = false;
        SteadyTime at;
    };

    bool winsIn(const Membership &membership, std::uint64_t key) const;

    std::uint64_t self_;
    /// When the first list came.
    SteadyTime knownSince_ = SteadyTime::max();
    /// The newest last.
    std::deque<Membership> memberships_;
    std::unordered_map<std::uint64_t, Verdict> verdicts_;
};

} // namespace Portpaddle
