// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Upstreams got more repeats than the budget of the system allows when daemons had saved credit before their requests failed.

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
// Repeats allowed besides, for each daemon.
constexpr double fixedForEach = 2.6;

class CalmFleetFixture
{
public:
    /// Plays @p scenario at fleets of all sizes, busy and quiet.
    static void keepsToBudget(RetryScenario scenario)
    {
        scenario.calm = calm;
        scenario.attempts = 3;
        for (const unsigned daemons : { 8U, 61U, 300U }) {
            for (const double requestsPerSecond : { 0.2, 3.0 }) {
                scenario.daemons = daemons;
                scenario.fixedNumber = fixedForEach * daemons;
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

/// Two daemons before upstreams that fail each request from a moment on.
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

    /// Sends so many requests and gives the arrivals beyond the first of each.
    std::size_t repeatsOf(GatewaySite &daemon, std::size_t requests)
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
        return failing ? ScriptedAnswer{ "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n" } : echo(request);
    }

    std::size_t arrivals() const
    {
        return left.seen().size() + right.seen().size();
    }

    std::size_t asked_ = 0;
};

} // namespace

TEST_CASE_FIXTURE(MovingCallersFixture,
                  "Two daemons, callers that move to the other as requests begin to fail, keep to one budget")
{
    constexpr std::size_t requests = 100;
    CHECK(repeatsOf(first, requests) == 0);
    const Suspension calmGoesOn(9500ms);
    failing = true;
    const std::size_t saved = repeatsOf(first, requests);
    const Suspension callersMove(1s);
    const std::size_t earnedAnew = repeatsOf(second, requests);
    CHECK(saved > 0);
    CHECK(earnedAnew > 0);
    // Twice as many requests lie in the window that begins with the failures.
    CHECK(saved + earnedAnew <= 2 * requests / 5);
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, all daemons killed once while all requests fail, is kept")
{
    keepsToBudget({ .events = { .killAll = failuresFrom + 2.5 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, all daemons killed in series, is kept")
{
    keepsToBudget({ .troubles = { .killAll = 0.4 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, daemons started anew one after the other, is kept")
{
    keepsToBudget({ .events = { .roll = failuresFrom + 1 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, callers that move to other data centres, is kept")
{
    keepsToBudget({ .events = { .shift = failuresFrom + 3 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, callers that move from daemon to daemon, is kept")
{
    keepsToBudget({ .events = { .wander = failuresFrom + 1 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, traffic that rises and falls by ten, is kept")
{
    keepsToBudget({ .swing = 10, .events = { .killAll = failuresFrom + 2.5 } });
}

TEST_CASE_FIXTURE(CalmFleetFixture, "Retry budget after a calm, repeats held up for seconds while callers move, is kept")
{
    keepsToBudget({ .troubles = { .holdUp = 0.2 }, .events = { .shift = failuresFrom + 4 } });
}

TEST_CASE("Retry budget after a calm, credit counted over a window behind each daemon, is broken by callers that move")
{
    RetryFleet fleet({ .requestsPerSecond = 3, .calm = calm, .events = { .shift = failuresFrom + 3 } }, RetryWay::SlidingWindow,
                     1);
    fleet.play(50s);
    CHECK(fleet.worstExcess() > 0);
}
