// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against more retries than the budget of the fleet allows after daemons saved credit while no request failed.

#include "support/gateway_site.h"
#include "support/retry_fleet.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 5;
constexpr auto calm = 20s;
constexpr double failuresFrom = 20;
// Retries for each daemon in addition to those earned by its requests.
constexpr double extraRetriesPerDaemon = 2.6;

class CalmFleetFixture
{
public:
    /// Plays @p scenario with fleets of three sizes at a low and a high request rate.
    static void checkBudgetKept(RetryScenario scenario)
    {
        scenario.calm = calm;
        scenario.attempts = 3;
        for (const unsigned daemons : { 8U, 61U, 300U }) {
            for (const double requestsPerSecond : { 0.2, 3.0 }) {
                scenario.daemons = daemons;
                scenario.fixedNumber = extraRetriesPerDaemon * daemons;
                scenario.requestsPerSecond = requestsPerSecond;
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    play(scenario, seed);
                }
            }
        }
    }

private:
    static void play(const RetryScenario &scenario, std::uint64_t seed)
    {
        RetryFleet fleet(scenario, RetryWay::SharedCredit, seed);
        fleet.play(50s);
        CAPTURE(seed);
        CAPTURE(scenario.daemons);
        CAPTURE(scenario.requestsPerSecond);
        CHECK(fleet.worstExcess() <= 0);
        CHECK(fleet.repeats() > 0);
    }
};

/// Two daemons with common upstreams that fail every request once `failing` is set.
class MovingCallersFixture
{
public:
    MovingCallersFixture()
    {
        for (GatewaySite *daemon : { &first, &second }) {
            daemon->addUpstream("u1", left.address());
            daemon->addUpstream("u2", right.address());
            daemon->terms.retryRatio = 0.2;
            daemon->terms.extraRetriesPerWindow = 0;
            daemon->setOptions();
        }
    }

    /// Sends @p requests and returns the number of retries that arrived.
    std::size_t retriesOf(GatewaySite &daemon, std::size_t requests)
    {
        const std::size_t before = arrivals();
        for (std::size_t index = 0; index < requests; ++index) {
            daemon.ask("/plain/a", "id" + std::to_string(++asked_));
        }
        return arrivals() - before - requests;
    }

    std::atomic<bool> failing{ false };
    ScriptedUpstream left{ [this](const SeenRequest &request) { return answer(request); } };
    ScriptedUpstream right{ [this](const SeenRequest &request) { return answer(request); } };
    GatewaySite first;
    GatewaySite second;

private:
    ScriptedAnswer answer(const SeenRequest &request) const
    {
        return failing ? ScriptedAnswer{ "HTTP/1.1 500 Failed\r\nX-Request-Id: @id\r\nContent-Length: 0\r\n\r\n" }
                       : echo(request);
    }

    std::size_t arrivals() const
    {
        return left.seen().size() + right.seen().size();
    }

    std::size_t asked_ = 0;
};

} // namespace

TEST_CASE_FIXTURE(MovingCallersFixture,
                  "Two daemons, callers that move to the other when requests begin to fail, keep to one budget")
{
    constexpr std::size_t requests = 100;
    CHECK(retriesOf(first, requests) == 0);
    const Suspension calmPeriod(9500ms);
    failing = true;
    const std::size_t savedRetries = retriesOf(first, requests);
    const Suspension callerMoveTime(1s);
    const std::size_t newRetries = retriesOf(second, requests);
    CHECK(savedRetries > 0);
    CHECK(newRetries > 0);
    // The window that begins with the failures holds the requests of both daemons.
    CHECK(savedRetries + newRetries <= 2 * requests / 5);
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, all daemons killed once while all requests fail, is kept")
{
    checkBudgetKept({ .events = { .killAll = failuresFrom + 2.5 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, all daemons killed repeatedly, is kept")
{
    checkBudgetKept({ .troubles = { .killAll = 0.4 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, daemons restarted one after the other, is kept")
{
    checkBudgetKept({ .events = { .roll = failuresFrom + 1 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, callers that move to other data centres, is kept")
{
    checkBudgetKept({ .events = { .shift = failuresFrom + 3 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, callers that move from daemon to daemon, is kept")
{
    checkBudgetKept({ .events = { .wander = failuresFrom + 1 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, traffic that rises and falls by a factor of ten, is kept")
{
    checkBudgetKept({ .swing = 10, .events = { .killAll = failuresFrom + 2.5 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, retries delayed by seconds while callers move, is kept")
{
    checkBudgetKept({ .troubles = { .holdUp = 0.2 }, .events = { .shift = failuresFrom + 4 } });
}

TEST_CASE("Retry budget after a calm, credit counted over a sliding window of each daemon, is exceeded when callers move")
{
    RetryFleet fleet({ .requestsPerSecond = 3, .calm = calm, .events = { .shift = failuresFrom + 3 } }, RetryWay::SlidingWindow,
                     1);
    fleet.play(50s);
    CHECK(fleet.worstExcess() > 0);
}
