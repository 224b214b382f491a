// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_teller.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Of ten datagrams one may be lost: all three are lost once in a thousand times.
constexpr unsigned timesTold = 3;
// Whoever missed what was told hears it again within this time.
constexpr std::chrono::milliseconds shortestInterval{ 300 };
// What one daemon sends for an upstream must not grow with their number: 50 datagrams a second.
constexpr std::chrono::milliseconds intervalOfMember{ 20 };

std::chrono::milliseconds intervalFor(const TellerPlace &place)
{
    const std::chrono::milliseconds each = intervalOfMember * static_cast<int>(place.members);
    return std::max(shortestInterval, each) * static_cast<int>(place.rank + 1);
}

} // namespace

void LimitTeller::changed(std::uint64_t upstream, SteadyTime now)
{
    turns_[upstream] = { now, timesTold };
}

void LimitTeller::heardSame(std::uint64_t upstream, SteadyTime now)
{
    turns_[upstream].toldAt = now;
}

// One daemon goes on telling. Each of the others waits for as many intervals as there are daemons before it, so that the next one
// takes over when those fall silent, and nobody has to be chosen.
bool LimitTeller::due(std::uint64_t upstream, const TellerPlace &place, SteadyTime now)
{
    Turn &turn = turns_[upstream];
    const bool again = now - turn.toldAt >= intervalFor(place);
    if (turn.timesLeft == 0 && !again) {
        return false;
    }
    turn.timesLeft -= turn.timesLeft > 0 ? 1 : 0;
    turn.toldAt = now;
    return true;
}

bool LimitTeller::dueOnce(std::uint64_t upstream)
{
    Turn &turn = turns_[upstream];
    const bool tells = turn.timesLeft > 0;
    turn.timesLeft -= tells ? 1 : 0;
    return tells;
}

void LimitTeller::forget(std::uint64_t upstream)
{
    turns_.erase(upstream);
}

} // namespace Portpaddle
