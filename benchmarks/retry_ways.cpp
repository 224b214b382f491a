// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares strategies that share a retry budget among all daemons, in virtual time over ten seeds: the largest excess over the
// budget in any window, and the mean numbers of retries made and denied.

#include "support/retry_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace Portpaddle;

namespace {

constexpr unsigned seeds = 10;
constexpr std::chrono::seconds playTime{ 60 };
constexpr std::chrono::seconds calm{ 20 };
constexpr std::chrono::seconds forever{ 1'000 };
constexpr double eventSeconds = 22.5;

struct NamedScenario
{
    const char *name;
    RetryScenario scenario;
};

void print(const NamedScenario &named, RetryWay way)
{
    double worst = -named.scenario.fixedNumber;
    std::size_t made = 0;
    std::size_t denied = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(named.scenario, way, seed);
        fleet.play(playTime);
        worst = std::max(worst, fleet.worstExcess());
        made += fleet.repeats();
        denied += fleet.denied();
    }
    fmt::print("{:38} {:22} {:8.0f} {:8} {:8}\n", named.name, nameOf(way), worst, made / seeds, denied / seeds);
}

} // namespace

int main()
{
    const std::array scenarios{
        NamedScenario{ "calm, then a crash", { .requestsPerSecond = 3, .calm = forever, .events = { .crash = eventSeconds } } },
        NamedScenario{ "few requests, a crash",
                       { .requestsPerSecond = 0.2, .calm = forever, .events = { .crash = eventSeconds } } },
        NamedScenario{ "calm, then half of the attempts fail",
                       { .requestsPerSecond = 3, .calm = calm, .failingAttempts = 0.5, .troubles{} } },
        NamedScenario{ "calm, then a tenth fails",
                       { .requestsPerSecond = 3, .calm = calm, .failingAttempts = 0.1, .troubles{} } },
        NamedScenario{ "calm, then all fail", { .requestsPerSecond = 3, .calm = calm, .troubles{} } },
        NamedScenario{ "the same, all killed once",
                       { .requestsPerSecond = 3, .calm = calm, .events = { .killAll = eventSeconds } } },
        NamedScenario{ "the same, callers move", { .requestsPerSecond = 3, .calm = calm, .events = { .shift = eventSeconds } } },
        NamedScenario{ "few requests, half fail",
                       { .requestsPerSecond = 0.2, .calm = calm, .failingAttempts = 0.5, .troubles{} } },
        NamedScenario{ "few requests, all fail", { .requestsPerSecond = 0.2, .calm = calm, .troubles{} } },
        NamedScenario{ "few requests, callers wander",
                       { .requestsPerSecond = 0.2, .calm = calm, .events = { .wander = eventSeconds } } },
        NamedScenario{ "a tenth of the daemons fails", { .requestsPerSecond = 2, .failingPart = 0.1, .troubles{} } },
        NamedScenario{ "all fail, six in ten each 2 s", { .requestsPerSecond = 3, .troubles = { .killSome = 0.5 } } },
        NamedScenario{
            "8 daemons, all fail, killed once",
            { .daemons = 8, .fixedNumber = 54, .requestsPerSecond = 10, .calm = calm, .events = { .killAll = eventSeconds } } },
        NamedScenario{ "300 daemons, all fail, killed once",
                       { .daemons = 300, .fixedNumber = 162, .calm = calm, .events = { .killAll = eventSeconds } } },
    };
    fmt::print("{:38} {:22} {:>8} {:>8} {:>8}\n", "scenario", "way", "excess", "made", "denied");
    for (const NamedScenario &named : scenarios) {
        for (const RetryWay way : { RetryWay::SlidingWindow, RetryWay::LapsingCredit, RetryWay::OneBucket,
                                    RetryWay::SharedCreditQuarter, RetryWay::SharedCredit, RetryWay::SharedCreditMost }) {
            print(named, way);
        }
    }
    return 0;
}
