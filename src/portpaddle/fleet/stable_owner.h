// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemons of a region may spend a bound that is too small to be divided among all of them.
#pragma once

#include "portpaddle/net/asio.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Ranks the daemons known for each key by rendezvous hashing. Belongs to one event loop.
class StableOwner
{
public:
    explicit StableOwner(std::string_view ownId);

    /// The daemons of the region now, by the hashes of their ids.
    void setMembers(std::vector<std::uint64_t> members, SteadyTime now);
    /// Whether this daemon was the owner of @p key by every list of daemons that was in force within the settling time.
    bool owns(std::uint64_t key, SteadyTime now);
    /// Whether it was among the first @p count by every such list.
    bool isAmong(std::uint64_t key, unsigned count, SteadyTime now);
    /// How many daemons stand before this one by the newest list.
    std::size_t rank(std::uint64_t key) const;
    /// Daemons on the newest list.
    std::size_t members() const;

private:
    struct Membership
    {
        std::vector<std::uint64_t> members;
        /// When another one replaced it; the newest is in force.
        SteadyTime until;
    };

    struct Verdict
    {
        bool isAmong = false;
        unsigned count = 0;
        SteadyTime at;
    };

    /// No value where this daemon is not on the list.
    std::optional<std::size_t> rankIn(const Membership &membership, std::uint64_t key) const;

    std::uint64_t self_;
    /// When the first list came.
    SteadyTime knownSince_ = SteadyTime::max();
    /// The newest last.
    std::deque<Membership> memberships_;
    std::unordered_map<std::uint64_t, Verdict> verdicts_;
};

} // namespace Portpaddle
