// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests to upstreams that leave or asked for a backoff, per daemon and in virtual time, and the share of callers served.

#include "support/notice_fleet.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// Requests of one daemon during one backoff of an upstream.
constexpr std::size_t maxRequestsPerBackoff = 2;

/// Two of four upstreams leave, and @p shortOf turn requests away for a while. Their store records show neither.
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

/// Checks that callers lose no requests while one upstream accepts them, and otherwise only while all upstreams back off.
void checkNoticesRespected(const NoticeTroubles &troubles)
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
                CHECK(fleet.mostWithinTime() <= maxRequestsPerBackoff);
                CHECK(fleet.servedPart() >= (shortOf < 4 ? 0.99 : 0.8));
            }
        }
    }
}

} // namespace

TEST_CASE("Notices of upstreams, no other faults, are respected by every daemon")
{
    checkNoticesRespected({});
}

TEST_CASE("Notices of upstreams, all daemons killed repeatedly, are respected by each daemon that received them")
{
    checkNoticesRespected({ .killAll = 0.4 });
}

TEST_CASE("Notices of upstreams, six in ten daemons killed repeatedly, are respected by each daemon that received them")
{
    checkNoticesRespected({ .killSome = 0.5 });
}

TEST_CASE("Notices of upstreams, callers concentrated on some daemons and delayed connections, are respected")
{
    checkNoticesRespected({ .holdUp = 0.1, .moveCallers = 0.3 });
}

TEST_CASE("Notices of upstreams, store records that expire and return, are respected")
{
    checkNoticesRespected({ .killSome = 0.1, .lapse = 0.3 });
}
