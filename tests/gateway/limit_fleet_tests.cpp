// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What an upstream gets that names a limit, from all daemons of its region in virtual time, with callers that would have every
// request go there.

#include "support/limit_fleet.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 4;
constexpr auto before = 6s;
constexpr auto length = 25s;

/// Has settled before the limit was named, and played on.
class PlayedFleet : public LimitFleet
{
public:
    PlayedFleet(const LimitScenario &scenario, std::uint64_t seed) : LimitFleet(scenario, LimitWay::FewHolders, seed)
    {
        play(before);
        name(scenario.perSecond);
        play(length);
    }
};

/// In every four seconds from five seconds after the naming on, whatever goes wrong meanwhile.
void keepsToLimit(const LimitTroubles &troubles)
{
    for (const unsigned daemons : { 8U, 61U, 300U }) {
        for (const double perSecond : { 1.0, 0.5, 0.1 }) {
            for (std::uint64_t seed = 1; seed <= (daemons > 100 ? 1 : seeds); ++seed) {
                CAPTURE(daemons);
                CAPTURE(perSecond);
                CAPTURE(seed);
                CHECK(PlayedFleet({ daemons, 2, perSecond, troubles }, seed).worstPart() <= 1);
            }
        }
    }
}

} // namespace

TEST_CASE("Limit of an upstream, nothing wrong, is kept by all daemons together")
{
    keepsToLimit({});
}

TEST_CASE("Limit of an upstream, all daemons killed again and again, is kept")
{
    keepsToLimit({ .killAll = 0.4 });
}

TEST_CASE("Limit of an upstream, six in ten killed again and again, is kept")
{
    keepsToLimit({ .killSome = 0.5 });
}

TEST_CASE("Limit of an upstream, daemons cut off from the news and news lost, is kept")
{
    keepsToLimit({ .killSome = 0.05, .cut = 0.02, .loss = 0.1 });
}

TEST_CASE("Limit of an upstream, requests that arrive seconds late, is kept")
{
    keepsToLimit({ .killSome = 0.05, .holdUp = 0.05 });
}

TEST_CASE("Limit of an upstream, nothing wrong, is for the most part used")
{
    for (const double perSecond : { 0.5, 2.0, 20.0 }) {
        CAPTURE(perSecond);
        const double used = PlayedFleet({ 8, 6, perSecond, {} }, 1).usedPart();
        CHECK(used >= 0.75);
        CHECK(used <= 1.05);
    }
}

TEST_CASE("Limit of an upstream, no longer named, leaves it to all daemons after some seconds")
{
    PlayedFleet fleet({ 8, 2, 1, {} }, 1);
    fleet.name(0);
    fleet.play(12s);
    // Sixteen a second come, and all would go there.
    CHECK(fleet.arrivedLately(2s) >= 20);
}
