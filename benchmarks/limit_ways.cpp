// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares strategies that enforce the limit of an organisation over all daemons, in virtual time. The figures are the worst of
// five seeds.

#include "support/limit_scenario.h"

#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/organisation_limits.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>

using namespace Portpaddle;

namespace {

LimitOutcome worstOfSeeds(LimitPlay scenario, bool aggregated)
{
    const OrganisationLimit limit{ LimitUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 };
    LimitOutcome worst;
    for (scenario.seed = 1; scenario.seed <= 5; ++scenario.seed) {
        const auto strategy
            = aggregated ? gatheredLimits(scenario.daemons, limit, scenario.seed) : sharesByDemand(scenario.daemons, limit);
        const LimitOutcome outcome = play(scenario, *strategy);
        worst.worstWindow = std::max(worst.worstWindow, outcome.worstWindow);
        worst.refusedBelow = std::max(worst.refusedBelow, outcome.refusedBelow);
    }
    return worst;
}

/// Prints the processor time of a key look-up and a limit check per request, with sixteen organisations of four keys each.
void printCost()
{
    constexpr int requests = 200'000;
    OrganisationTable organisations;
    for (int number = 0; number < 16; ++number) {
        Organisation organisation;
        organisation.name = fmt::format("organisation-{}", number);
        organisation.limit = { LimitUnit::Tokens, 1e9, 1e9, 200 };
        std::vector<std::string> keys;
        for (int key = 0; key < 4; ++key) {
            keys.push_back(fmt::format("a-key-of-twenty-{}-{}", number, key));
        }
        organisations.add(organisation, keys);
    }
    SeededRandom random(1);
    OrganisationLimits limits(
        "d", "north", [](std::uint32_t, SteadyTime) { return true; }, [](const std::string &, SteadyTime) { return false; });
    limits.setOrganisations(organisations, BootClock::now());
    const std::clock_t start = std::clock();
    unsigned admitted = 0;
    for (int request = 0; request < requests; ++request) {
        const Organisation *organisation
            = organisations.findByAuthorization(fmt::format("Bearer a-key-of-twenty-{}-2", request % 16));
        admitted += limits.admit(*organisation, 1'000, BootClock::now(), random) ? 0 : 1;
    }
    const double micros = 1e6 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / requests;
    fmt::print("\nkey and limit: {:.2f} µs of processor a request ({} of {} admitted)\n", micros, admitted, requests);
}

} // namespace

int main()
{
    fmt::print("| event | daemons | tokens a second | shares: worst window | refused below | gathered: worst window | refused "
               "below |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const LimitEvent event : everyLimitEvent) {
        for (const unsigned daemons : { 7U, 68U, 300U }) {
            for (const double perSecond : { 36'000.0, 300'000.0, 4'000'000.0 }) {
                const LimitOutcome shares = worstOfSeeds({ event, daemons, perSecond, 0 }, false);
                const LimitOutcome aggregated = worstOfSeeds({ event, daemons, perSecond, 0 }, true);
                fmt::print("| {} | {} | {} | {:.2f} | {:.3f} | {:.2f} | {:.3f} |\n", nameOf(event), daemons, perSecond,
                           shares.worstWindow, shares.refusedBelow, aggregated.worstWindow, aggregated.refusedBelow);
            }
        }
    }
    printCost();
}
