// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Compares the routing decision with baselines on the same seeded arrivals in virtual time. The output is the same on every run.

#include "virtual_site.h"

#include <cstring>
#include <vector>

#include <fmt/format.h>

using namespace Portpaddle;

namespace {

struct ComparedPolicy
{
    const char *name;
    Policy policy;
    Scope scope;
};

constexpr ComparedPolicy comparedPolicies[] = {
    { "portpaddle", Policy::Decision, Scope::Everywhere },
    { "round robin, own region", Policy::RoundRobin, Scope::OwnRegion },
    { "round robin, everywhere", Policy::RoundRobin, Scope::Everywhere },
    { "least loaded, own region", Policy::LeastLoaded, Scope::OwnRegion },
    { "least loaded, everywhere", Policy::LeastLoaded, Scope::Everywhere },
    { "modulo hash, own region", Policy::ModuloHash, Scope::OwnRegion },
    { "modulo hash, everywhere", Policy::ModuloHash, Scope::Everywhere },
};

SiteConfig deskSite()
{
    SiteConfig config;
    config.name = "desk";
    return config;
}

SiteConfig associationSite()
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
    for (const ComparedPolicy &compared : comparedPolicies) {
        SiteResult sum;
        for (const std::uint64_t seed : seeds) {
            config.seed = seed;
            const SiteResult result = runSite(config, compared.policy, compared.scope);
            sum.interactiveP50 += result.interactiveP50 / std::size(seeds);
            sum.interactiveP99 += result.interactiveP99 / std::size(seeds);
            sum.deferrableP99 += result.deferrableP99 / std::size(seeds);
            sum.prefillMsPerRequest += result.prefillMsPerRequest / std::size(seeds);
            sum.awayFraction += result.awayFraction / std::size(seeds);
            sum.cacheHitFraction += result.cacheHitFraction / std::size(seeds);
            sum.refusals += result.refusals;
            sum.requests += result.requests;
            sum.finished += result.finished;
        }
        fmt::print("{:<26}{:>10.0f}{:>10.0f}{:>12.0f}{:>12.1f}{:>8.1f}{:>8.1f}{:>10}{:>10}\n", compared.name, sum.interactiveP50,
                   sum.interactiveP99, sum.deferrableP99, sum.prefillMsPerRequest, 100 * sum.awayFraction,
                   100 * sum.cacheHitFraction, sum.refusals, sum.requests - sum.finished);
    }
}

} // namespace

int main()
{
    for (SiteConfig config : { deskSite(), associationSite() }) {
        compare(config);
        SiteConfig unchunked = config;
        unchunked.name += ", engines read each prompt in one go";
        unchunked.prefillChunkTokens = 0;
        compare(unchunked);
        config.name += ", region r0 lost for a third of the time";
        config.failingRegion = 0;
        compare(config);
    }
    return 0;
}
