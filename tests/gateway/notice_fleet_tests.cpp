// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What upstreams get that leave or asked for time, from each of many daemons in virtual time, and what callers get beside it.

#include "support/notice_fleet.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// In each time that an upstream asks for, of one daemon.
constexpr std::size_t maxAllowed = 2;

/// Two of four upstreams leave, and @p shortOf are short for a while; the entries say nothing of either.
void play(NoticeFleet &fleet, unsigned shortOf)
{
    fleet.play(5s);
    fleet.leave(2, 12s);
    fleet.play(5s);
    fleet.setShort(shortOf, true);
    fleet.play(8s);
    fleet.setShort(shortOf, false);
    fleet.play(10s);
}

/// Where one upstream is left callers lose nothing; where none is, no more than in the time that all want nothing.
void keepsToNotices(const NoticeTroubles &troubles)
{
    for (const unsigned daemons : { 8U, 61U, 300U }) {
        for (const unsigned shortOf : { 3U, 4U }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                CAPTURE(daemons);
                CAPTURE(shortOf);
                CAPTURE(seed);
                const NoticeScenario scenario{ .daemons = daemons, .requestsPerSecond = 4.0 * daemons, .troubles = troubles };
                NoticeFleet fleet(scenario, NoticeWay::Own, seed);
                play(fleet, shortOf);
                CHECK(fleet.afterLeaving() == 0);
                CHECK(fleet.mostWithinTime() <= maxAllowed);
                CHECK(fleet.servedPart() >= (shortOf < 4 ? 0.99 : 0.8));
            }
        }
    }
}

} // namespace

TEST_CASE("Notices of upstreams, nothing else wrong, are kept by every daemon")
{
    keepsToNotices({});
}

TEST_CASE("Notices of upstreams, all daemons killed again and again, are kept by each that was told")
{
    keepsToNotices({ .killAll = 0.4 });
}

TEST_CASE("Notices of upstreams, six in ten daemons killed again and again, are kept by each that was told")
{
    keepsToNotices({ .killSome = 0.5 });
}

TEST_CASE("Notices of upstreams, callers that move and connections that hold bytes back, are kept")
{
    keepsToNotices({ .holdUp = 0.1, .moveCallers = 0.3 });
}

TEST_CASE("Notices of upstreams, entries that lapse and come back, are kept")
{
    keepsToNotices({ .killSome = 0.1, .lapse = 0.3 });
}
