// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Request rate that an upstream with a named limit receives from all daemons of its region. The simulation runs in virtual time,
// and its callers would send every request to that upstream.

#include "support/limit_fleet.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 4;
constexpr auto settlingTime = 6s;
constexpr auto runTime = 25s;

/// A simulated fleet that settles, then learns of a named limit, and keeps running.
class SimulatedLimitFleet : public LimitFleet
{
public:
    SimulatedLimitFleet(const LimitScenario &scenario, std::uint64_t seed) : LimitFleet(scenario, LimitWay::FewHolders, seed)
    {
        play(settlingTime);
        name(scenario.perSecond);
        play(runTime);
    }
};

/// Checks every 4 s from 5 s after the limit was named against the tolerance of worstPart(), despite the @p troubles.
void checkLimitKept(const LimitTroubles &troubles)
{
    for (const unsigned daemons : { 8U, 61U, 300U }) {
        for (const double perSecond : { 1.0, 0.5, 0.1 }) {
            for (std::uint64_t seed = 1; seed <= (daemons > 100 ? 1 : seeds); ++seed) {
                CAPTURE(daemons);
                CAPTURE(perSecond);
                CAPTURE(seed);
                CHECK(SimulatedLimitFleet({ daemons, 2, perSecond, troubles }, seed).worstPart() <= 1);
            }
        }
    }
}

} // namespace

TEST_CASE("Limit of an upstream, no faults, is kept by all daemons together")
{
    checkLimitKept({});
}

TEST_CASE("Limit of an upstream, all daemons killed repeatedly, is kept")
{
    checkLimitKept({ .killAll = 0.4 });
}

TEST_CASE("Limit of an upstream, six in ten daemons killed repeatedly, is kept")
{
    checkLimitKept({ .killSome = 0.5 });
}

TEST_CASE("Limit of an upstream, partitioned daemons and lost digests, is kept")
{
    checkLimitKept({ .killSome = 0.05, .cut = 0.02, .loss = 0.1 });
}

TEST_CASE("Limit of an upstream, requests delayed for seconds, is kept")
{
    checkLimitKept({ .killSome = 0.05, .holdUp = 0.05 });
}

TEST_CASE("Limit of an upstream, no faults, is mostly used")
{
    for (const double perSecond : { 0.5, 2.0, 20.0 }) {
        CAPTURE(perSecond);
        const double used = SimulatedLimitFleet({ 8, 6, perSecond, {} }, 1).usedPart();
        CHECK(used >= 0.75);
        CHECK(used <= 1.05);
    }
}

TEST_CASE("Limit of an upstream, no longer named, stops applying to all daemons within seconds")
{
    SimulatedLimitFleet fleet({ 8, 2, 1, {} }, 1);
    fleet.name(0);
    fleet.play(12s);
    // Callers send 16 requests per second, all of which would go to this upstream.
    CHECK(fleet.arrivedLately(2s) >= 20);
}
