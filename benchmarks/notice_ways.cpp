// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares strategies for the notices that upstreams give about themselves (leaving, short of capacity), in virtual time and over
// some seeds: served callers, requests sent against a notice, and requests that arrive at upstreams per served request.

#include "support/notice_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 5;

struct NamedScenario
{
    const char *name;
    NoticeScenario scenario;
    unsigned leavingUpstreams;
    unsigned shortUpstreams;
    /// Time for which upstreams stay reachable after they have announced that they leave.
    std::chrono::seconds stay = 6s;
};

void print(const NamedScenario &named, NoticeWay way)
{
    double served = 0;
    double arrivals = 0;
    double requestsAtGone = 0;
    std::size_t afterLeaving = 0;
    std::size_t withinTime = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        NoticeFleet fleet(named.scenario, way, seed);
        fleet.play(5s);
        fleet.leave(named.leavingUpstreams, named.stay);
        fleet.setShort(named.shortUpstreams, true);
        fleet.play(8s);
        fleet.setShort(named.shortUpstreams, false);
        fleet.play(15s);
        served += fleet.servedPart();
        arrivals += fleet.arrivalsPerServed();
        requestsAtGone += static_cast<double>(fleet.metGone());
        afterLeaving = std::max(afterLeaving, fleet.afterLeaving());
        withinTime = std::max(withinTime, fleet.mostWithinTime());
    }
    fmt::print("{:44} {:15} {:8.3f} {:9.2f} {:8} {:8} {:8.1f}\n", named.name, nameOf(way), served / seeds, arrivals / seeds,
               afterLeaving, withinTime, requestsAtGone / seeds);
}

} // namespace

int main()
{
    const NoticeTroubles kills{ .killSome = 0.5 };
    const std::array scenarios{
        NamedScenario{ "8 daemons, all 4 short", { .requestsPerSecond = 60 }, 0, 4 },
        NamedScenario{ "8 daemons, 2 of 4 short", { .requestsPerSecond = 60 }, 0, 2 },
        NamedScenario{ "8 daemons, all short, half turned away", { .requestsPerSecond = 60, .turnedAway = 0.5 }, 0, 4 },
        NamedScenario{ "61 daemons, all 12 short", { .daemons = 61, .upstreams = 12, .requestsPerSecond = 300 }, 0, 12 },
        NamedScenario{ "300 daemons, all 12 short", { .daemons = 300, .upstreams = 12, .requestsPerSecond = 600 }, 0, 12 },
        NamedScenario{ "8 daemons, 2 of 4 leave", { .requestsPerSecond = 60 }, 2, 0 },
        NamedScenario{ "61 daemons, 4 of 12 leave", { .daemons = 61, .upstreams = 12, .requestsPerSecond = 300 }, 4, 0 },
        NamedScenario{
            "300 daemons, 4 of 12 leave, few callers", { .daemons = 300, .upstreams = 12, .requestsPerSecond = 150 }, 4, 0 },
        NamedScenario{ "61 daemons, 4 leave, 12 short, six in ten killed",
                       { .daemons = 61, .upstreams = 12, .requestsPerSecond = 300, .troubles = kills },
                       4,
                       12 },
    };
    fmt::print("{:44} {:15} {:>8} {:>9} {:>8} {:>8} {:>8}\n", "scenario", "way", "served", "arrivals", "past", "within", "gone");
    for (const NamedScenario &named : scenarios) {
        for (const NoticeWay way : { NoticeWay::Own, NoticeWay::Ignored, NoticeWay::LeavingTold, NoticeWay::OneAfterTime }) {
            print(named, way);
        }
    }
    return 0;
}
