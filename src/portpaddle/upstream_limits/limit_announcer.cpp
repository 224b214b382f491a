// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_announcer.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// One datagram in ten may be lost; all three are lost once in a thousand cases.
constexpr unsigned announcementsPerChange = 3;
// A daemon that missed an announcement gets the next one within this time.
constexpr std::chrono::milliseconds minInterval{ 300 };
// Bounds what one daemon sends for an upstream to 50 datagrams a second, however many daemons there are.
constexpr std::chrono::milliseconds intervalPerMember{ 20 };

std::chrono::milliseconds intervalFor(const AnnouncerPlace &place)
{
    const std::chrono::milliseconds each = intervalPerMember * static_cast<int>(place.members);
    return std::max(minInterval, each) * static_cast<int>(place.rank + 1);
}

} // namespace

void LimitAnnouncer::changed(std::uint64_t upstream, SteadyTime now)
{
    schedules_[upstream] = { now, announcementsPerChange };
}

void LimitAnnouncer::receivedSame(std::uint64_t upstream, SteadyTime now)
{
    schedules_[upstream].announcedAt = now;
}

// One daemon repeats the announcement. Each of the others waits for as many intervals as there are daemons ranked before it, so
// that the next one takes over when those stop, without an election.
bool LimitAnnouncer::due(std::uint64_t upstream, const AnnouncerPlace &place, SteadyTime now)
{
    Schedule &schedule = schedules_[upstream];
    const bool overdue = now - schedule.announcedAt >= intervalFor(place);
    if (schedule.remaining == 0 && !overdue) {
        return false;
    }
    schedule.remaining -= schedule.remaining > 0 ? 1 : 0;
    schedule.announcedAt = now;
    return true;
}

bool LimitAnnouncer::dueOnce(std::uint64_t upstream)
{
    Schedule &schedule = schedules_[upstream];
    const bool announces = schedule.remaining > 0;
    schedule.remaining -= announces ? 1 : 0;
    return announces;
}

void LimitAnnouncer::forget(std::uint64_t upstream)
{
    schedules_.erase(upstream);
}

} // namespace Portpaddle
