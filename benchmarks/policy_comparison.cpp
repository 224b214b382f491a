// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The routing decision against baselines on the same seeded arrivals, in virtual time: same output on every run.

#include "virtual_site.h"

#include <cstring>
#include <vector>

#include <fmt/format.h>

using namespace Portpaddle;

namespace {

struct Contender
{
    const char *name;
    Policy policy;
    Scope scope;
};

constexpr Contender contenders[] = {
    { "portpaddle", Policy::Decision, Scope::Everywhere },
    { "round robin, own region", Policy::RoundRobin, Scope::OwnRegion },
    { "round robin, everywhere", Policy::RoundRobin, Scope::Everywhere },
    { "least loaded, own region", Policy::LeastLoaded, Scope::OwnRegion },
    { "least loaded, everywhere", Policy::LeastLoaded, Scope::Everywhere },
    { "modulo hash, own region", Policy::ModuloHash, Scope::OwnRegion },
    { "modulo hash, everywhere", Policy::ModuloHash, Scope::Everywhere },
};

SiteConfig desk()
{
    SiteConfig config;
    config.name = "desk";
    return config;
}

SiteConfig association()
{
    SiteConfig config;
    config.name = "association";
    config.weights = R"("latency_weight": 1, "cost_weight": 2, "away_weight": 4)";
    config.historyTokens = 10'000;
    config.historiesPerRegion = 30;
    config.requestsPerSecond = 2.4;
    return config;
}

void compare(SiteConfig config)
{
    constexpr std::uint64_t seeds[] = { 1, 2, 3, 4, 5 };
    fmt::print("\n{}\n{:<26}{:>10}{:>10}{:>12}{:>12}{:>8}{:>8}{:>10}{:>10}\n", config.name, "policy", "p50 ms", "p99 ms",
               "long p99 ms", "cost ms/req", "away %", "hits %", "refusals", "unfinished");
    for (const Contender &contender : contenders) {
        SiteResult sum;
        for (const std::uint64_t seed : seeds) {
            config.seed = seed;
            const SiteResult result = runSite(config, contender.policy, contender.scope);
            sum.interactiveP50 += result.interactiveP50 / std::size(seeds);
            sum.interactiveP99 += result.interactiveP99 / std::size(seeds);
            sum.deferrableP99 += result.deferrableP99 / std::size(seeds);
            sum.cost += result.cost / std::size(seeds);
            sum.away += result.away / std::size(seeds);
            sum.cacheHits += result.cacheHits / std::size(seeds);
            sum.refusals += result.refusals;
            sum.requests += result.requests;
            sum.finished += result.finished;
        }
        fmt::print("{:<26}{:>10.0f}{:>10.0f}{:>12.0f}{:>12.1f}{:>8.1f}{:>8.1f}{:>10}{:>10}\n", contender.name, sum.interactiveP50,
                   sum.interactiveP99, sum.deferrableP99, sum.cost, 100 * sum.away, 100 * sum.cacheHits, sum.refusals,
                   sum.requests - sum.finished);
    }
}

} // namespace

int main()
{
    for (SiteConfig config : { desk(), association() }) {
        compare(config);
        SiteConfig whole = config;
        whole.name += ", engines read each prompt in one go";
        whole.prefillChunkTokens = 0;
        compare(whole);
        config.name += ", region r0 lost for a third of the time";
        config.failingRegion = 0;
        compare(config);
    }
    return 0;
}
