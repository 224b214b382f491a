// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Schedules when a daemon announces the limit of an upstream to the other daemons of its region.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Portpaddle {

/// The rank of a daemon for an upstream among the daemons of its region.
struct AnnouncerPlace
{
    std::size_t rank = 0;
    /// Number of daemons of the region, including this one.
    std::size_t members = 1;
};

/// Keeps the schedule of announcements of each upstream. Belongs to one event loop.
class LimitAnnouncer
{
public:
    /// Schedules announcements of a change that the other daemons may not know.
    void changed(std::uint64_t upstream, SteadyTime now);
    /// Records that another daemon announced what this daemon knows.
    void receivedSame(std::uint64_t upstream, SteadyTime now);
    /// Returns whether the daemon at @p place has to announce now, and counts the announcement as made if so. Call once in each
    /// digest interval.
    bool due(std::uint64_t upstream, const AnnouncerPlace &place, SteadyTime now);
    /// Like due(), for a state that is announced only after a change and not repeated later.
    bool dueOnce(std::uint64_t upstream);
    void forget(std::uint64_t upstream);

private:
    struct Schedule
    {
        /// Time of the last announcement by any daemon, as far as this one received it.
        SteadyTime announcedAt{};
        unsigned remaining = 0;
    };

    std::unordered_map<std::uint64_t, Schedule> schedules_;
};

} // namespace Portpaddle
