// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Ownership of limits that are too small to be divided among all daemons of a region.
#pragma once

#include "portpaddle/net/asio.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Ranks the known daemons for each key by rendezvous hashing. Belongs to one event loop.
class StableOwner
{
public:
    explicit StableOwner(std::string_view ownId);

    /// Sets the current daemons of the region, given by the hashes of their ids.
    void setMembers(std::vector<std::uint64_t> members, SteadyTime now);
    /// Whether this daemon ranked first for @p key in every member list that was in use within the settling time.
    bool owns(std::uint64_t key, SteadyTime now);
    /// Whether this daemon was among the first @p count in every such list.
    bool isAmong(std::uint64_t key, unsigned count, SteadyTime now);
    /// Returns how many daemons rank before this one in the newest list; the size of the list if this one is not in it.
    std::size_t rank(std::uint64_t key) const;
    /// Returns the hash of the daemon that ranks first for @p key in the newest list; no value if the list is empty.
    std::optional<std::uint64_t> first(std::uint64_t key) const;
    /// Returns the number of daemons in the newest list.
    std::size_t members() const;

private:
    struct Membership
    {
        std::vector<std::uint64_t> members;
        /// When a newer list replaced this one; SteadyTime::max() for the newest.
        SteadyTime until;
    };

    struct CachedResult
    {
        bool isAmong = false;
        unsigned count = 0;
        SteadyTime at;
    };

    /// Returns the rank of this daemon; no value if the list does not contain it.
    std::optional<std::size_t> rankIn(const Membership &membership, std::uint64_t key) const;

    std::uint64_t ownHash_;
    /// When the first list was set.
    SteadyTime firstListAt_ = SteadyTime::max();
    /// The lists that may still be in use, newest last.
    std::deque<Membership> memberships_;
    std::unordered_map<std::uint64_t, CachedResult> cache_;
    /// Results of first() for the newest list.
    mutable std::unordered_map<std::uint64_t, std::uint64_t> firsts_;
};

} // namespace Portpaddle
