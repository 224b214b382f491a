// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares ways to keep an organisation's limit over all daemons, in virtual time: the worst over five seeds.

#include "support/limit_scenario.h"

#include <fmt/format.h>

#include <algorithm>

using namespace Portpaddle;

namespace {

constexpr LimitEvent events[]
    = { LimitEvent::Calm,       LimitEvent::Hot,     LimitEvent::Shift,           LimitEvent::HotAndRegionCut,
        LimitEvent::HerdKilled, LimitEvent::Lowered, LimitEvent::HotAndDaemonsCut };

LimitOutcome worstOfSeeds(LimitPlay scenario, bool gathered)
{
    const OrganisationLimit limit{ LimitUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 };
    LimitOutcome worst;
    for (scenario.seed = 1; scenario.seed <= 5; ++scenario.seed) {
        const auto way
            = gathered ? gatheredLimits(scenario.daemons, limit, scenario.seed) : sharesByDemand(scenario.daemons, limit);
        const LimitOutcome outcome = play(scenario, *way);
        worst.worstWindow = std::max(worst.worstWindow, outcome.worstWindow);
        worst.refusedBelow = std::max(worst.refusedBelow, outcome.refusedBelow);
    }
    return worst;
}

} // namespace

int main()
{
    fmt::print("| event | daemons | tokens a second | shares: worst window | refused below | gathered: worst window | refused "
               "below |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const LimitEvent event : events) {
        for (const unsigned daemons : { 7U, 68U, 300U }) {
            for (const double perSecond : { 36'000.0, 300'000.0, 4'000'000.0 }) {
                const LimitOutcome shares = worstOfSeeds({ event, daemons, perSecond, 0 }, false);
                const LimitOutcome gathered = worstOfSeeds({ event, daemons, perSecond, 0 }, true);
                fmt::print("| {} | {} | {} | {:.2f} | {:.3f} | {:.2f} | {:.3f} |\n", nameOf(event), daemons, perSecond,
                           shares.worstWindow, shares.refusedBelow, gathered.worstWindow, gathered.refusedBelow);
            }
        }
    }
}
