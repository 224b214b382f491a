// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Rollouts by fleets of several sizes in virtual time, of good versions and of versions with each kind of fault.

#include "support/rollout_fleet.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// What the operator allows a bad version to receive.
constexpr double allowedShare = 0.1;
constexpr double allowedExtra = 50;

class RolloutFleetFixture
{
public:
    RolloutScenario scenario;

    /// Plays @p scenario in fleets of several sizes, each with another seed, and passes each fleet to @p check.
    template<typename Check>
    void playAtEachSize(Check check)
    {
        std::uint64_t seed = 1;
        for (const unsigned daemons : { 1U, 8U, 83U, 300U }) {
            scenario.daemons = daemons;
            CAPTURE(daemons);
            CAPTURE(seed);
            RolloutFleet fleet(scenario, seed++);
            fleet.play();
            check(fleet);
        }
    }

    void checkRolledBackInTime()
    {
        playAtEachSize([](const RolloutFleet &fleet) {
            CHECK(fleet.stage() == RolloutStage::RolledBack);
            const double allowed = allowedShare * static_cast<double>(fleet.arrivals()) + allowedExtra;
            CHECK(static_cast<double>(fleet.newerArrivals()) <= allowed);
            CHECK(fleet.lateArrivals() == 0);
        });
    }

    void checkCompleted()
    {
        playAtEachSize([](const RolloutFleet &fleet) {
            CHECK(fleet.stage() == RolloutStage::Completed);
            CHECK(fleet.cutOff() == 0);
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, the version is good, completes in time and cuts off no request")
{
    checkCompleted();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, all versions fail often, completes")
{
    scenario.usualFailures = 0.14;
    checkCompleted();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, the service has few requests, completes")
{
    scenario.requestsPerSecond = 5;
    checkCompleted();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, the time is short, completes")
{
    scenario.duration = 20s;
    checkCompleted();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, the first controller ends, is completed by another one")
{
    scenario.controllerEndsAt = 6s;
    scenario.duration = 40s;
    playAtEachSize([this](const RolloutFleet &fleet) {
        // A single daemon has no other one.
        CHECK((scenario.daemons == 1 || fleet.stage() == RolloutStage::Completed));
    });
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, a part of the answers fails, is rolled back within the bounds")
{
    scenario.fault.share = 0.2;
    checkRolledBackInTime();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, all answers fail, is rolled back within the bounds")
{
    scenario.fault.share = 1;
    checkRolledBackInTime();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, a part of the answers is slow, is rolled back within the bounds")
{
    scenario.fault = { 0.3, false, 5, 0ms, false };
    checkRolledBackInTime();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, the fault begins late, is rolled back within the bounds")
{
    scenario.fault.share = 0.3;
    scenario.fault.from = 10s;
    checkRolledBackInTime();
}

TEST_CASE_FIXTURE(RolloutFleetFixture, "Rollout, a fault affects one route only, is rolled back within the bounds")
{
    scenario.fault = { 0.5, false, 6, 0ms, true };
    checkRolledBackInTime();
}

TEST_CASE_FIXTURE(RolloutFleetFixture,
                  "Rollout, the store is away, sends the new version nothing meanwhile and completes afterwards")
{
    scenario.duration = 40s;
    scenario.outageFrom = 8s;
    scenario.outage = 6s;
    playAtEachSize([](const RolloutFleet &fleet) {
        CHECK(fleet.sentWithoutStore() == 0);
        CHECK(fleet.stage() == RolloutStage::Completed);
    });
}
