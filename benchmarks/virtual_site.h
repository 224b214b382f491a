// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates a deployment in virtual time, without sockets and threads: arrivals, engines, and daemons that decide on delayed
/// reports.
#pragma once

#include "portpaddle/base/system_clock.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/routing/upstream_table.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Portpaddle {

/// The policy that chooses an engine for a request: the routing decision of a daemon or a baseline.
enum class Policy { Decision, RoundRobin, LeastLoaded, ModuloHash };
/// The engines that a baseline uses: those of its own region or all of them.
enum class Scope { OwnRegion, Everywhere };

/// A deployment and its load. The vectors have one entry per region.
struct SiteConfig
{
    std::string name;
    std::vector<unsigned> enginesPerRegion{ 5, 4, 3 };
    std::vector<unsigned> daemonsPerRegion{ 3, 3, 2 };
    unsigned slots = 8;
    double linkMs = 40;
    double tokenMs = 20;
    double prefillTokensPerSecond = 20'000;
    /// An engine may switch to another prompt after this many tokens; at zero it reads each prompt without a break.
    double prefillChunkTokens = 2'048;
    double cacheTokens = 120'000;
    /// Requests per second of each region outside its peak, and the factor by which the rate rises in its peak.
    double requestsPerSecond = 3;
    double peakFactor = 2.5;
    /// Fraction of the requests that are long and deferrable. Each of them continues one of the histories of its region.
    double deferrableFraction = 0.3;
    unsigned historiesPerRegion = 40;
    unsigned historyTokens = 8'000;
    unsigned shortPromptTokens = 120;
    unsigned shortAnswerTokens = 40;
    unsigned longAnswerTokens = 300;
    Millis duration{ 600'000 };
    Millis reportInterval{ 500 };
    Millis reportLag{ 200 };
    Millis summaryInterval{ 1'000 };
    Millis summaryLag{ 400 };
    std::string weights = R"("latency_weight": 2, "cost_weight": 1, "away_weight": 1)";
    /// Region whose engines take no work in the middle third of the run; no region fails if the value is negative.
    int failingRegion = -1;
    std::uint64_t seed = 1;
};

/// Figures of a run. Times are milliseconds from the arrival to the first token.
struct SiteResult
{
    double interactiveP50 = 0;
    double interactiveP99 = 0;
    double deferrableP99 = 0;
    /// Milliseconds of prefill per finished request.
    double prefillMsPerRequest = 0;
    /// Fraction of the finished requests that another region served.
    double awayFraction = 0;
    /// Hits in the prefix caches per finished deferrable request.
    double cacheHitFraction = 0;
    std::size_t requests = 0;
    std::size_t finished = 0;
    std::size_t refusals = 0;
};

/// Runs @p policy on the arrivals that follow from @p config and its seed. @p scope applies to baselines only.
SiteResult runSite(const SiteConfig &config, Policy policy, Scope scope);

} // namespace Portpaddle
