// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares strategies that share the limit of an upstream among the daemons of its region, in virtual time and over some seeds:
// requests in the worst four seconds as a fraction of the tolerated number, and requests per second as a fraction of the limit.

#include "support/limit_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace Portpaddle;

namespace {

constexpr unsigned seeds = 5;
constexpr std::chrono::seconds warmUpTime{ 6 };
constexpr std::chrono::seconds playTime{ 40 };

struct NamedScenario
{
    const char *name;
    LimitScenario scenario;
};

void print(const NamedScenario &named, LimitWay way)
{
    double worst = 0;
    double used = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitFleet fleet(named.scenario, way, seed);
        fleet.play(warmUpTime);
        fleet.name(named.scenario.perSecond);
        fleet.play(playTime);
        worst = std::max(worst, fleet.worstPart());
        used += fleet.usedPart();
    }
    fmt::print("{:40} {:18} {:8.2f} {:8.2f}\n", named.name, nameOf(way), worst, used / seeds);
}

} // namespace

int main()
{
    const LimitTroubles kills{ .killSome = 0.5 };
    const std::array scenarios{
        NamedScenario{ "3 daemons, 2 a second", { 3, 6, 2, {} } },
        NamedScenario{ "3 daemons, 2 a second, few callers", { 3, 0.7, 2, {} } },
        NamedScenario{ "8 daemons, 1 a second", { 8, 2, 1, {} } },
        NamedScenario{ "8 daemons, 20 a second", { 8, 6, 20, {} } },
        NamedScenario{ "61 daemons, 1 a second", { 61, 10, 1, {} } },
        NamedScenario{ "61 daemons, 0.1 a second", { 61, 10, 0.1, {} } },
        NamedScenario{ "61 daemons, 40 a second", { 61, 10, 40, {} } },
        NamedScenario{ "61 daemons, 2 a second, few callers", { 61, 0.2, 2, {} } },
        NamedScenario{ "8 daemons, 1 a second, six in ten killed", { 8, 2, 1, kills } },
        NamedScenario{ "61 daemons, 2 a second, six in ten killed", { 61, 10, 2, kills } },
        NamedScenario{ "61 daemons, 2 a second, news cut and lost", { 61, 10, 2, { .cut = 0.02, .loss = 0.1 } } },
        NamedScenario{ "8 daemons, 4 a second, held up", { 8, 6, 4, { .holdUp = 0.05 } } },
    };
    fmt::print("{:40} {:18} {:>8} {:>8}\n", "scenario", "way", "worst", "used");
    for (const NamedScenario &named : scenarios) {
        for (const LimitWay way :
             { LimitWay::FewHolders, LimitWay::EqualShares, LimitWay::OneOwner, LimitWay::FractionOfAsked }) {
            print(named, way);
        }
    }
    return 0;
}
