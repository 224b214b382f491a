// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A deployment in virtual time: arrivals, engines and daemons that decide on late reports. No sockets, no threads.
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

/// How requests are placed.
enum class Policy { Decision, RoundRobin, LeastLoaded, ModuloHash };
/// Whether a baseline uses the engines of its own region or all of them.
enum class Scope { OwnRegion, Everywhere };

/// A deployment and its load.
struct SiteConfig
{
    std::string name;
    std::vector<unsigned> enginesPerRegion{ 5, 4, 3 };
    std::vector<unsigned> daemonsPerRegion{ 3, 3, 2 };
    unsigned slots = 8;
    double linkMs = 40;
    double tokenMs = 20;
    double prefillTokensPerSecond = 20'000;
    /// Engines look at priorities after this many tokens of a prompt; zero reads each prompt in one go.
    double prefillChunkTokens = 2'048;
    double cacheTokens = 120'000;
    /// Requests a second of one region outside its peak, and how many times that in its peak.
    double requestsPerSecond = 3;
    double peakFactor = 2.5;
    /// Part of the requests that is long, may wait and belongs to one of the histories.
    double deferrablePart = 0.3;
    unsigned historiesPerRegion = 40;
    unsigned historyTokens = 8'000;
    unsigned shortTokens = 120;
    unsigned shortAnswer = 40;
    unsigned longAnswer = 300;
    Millis duration{ 600'000 };
    Millis reportInterval{ 500 };
    Millis reportLag{ 200 };
    Millis summaryInterval{ 1'000 };
    Millis summaryLag{ 400 };
    std::string weights = R"("latency_weight": 2, "cost_weight": 1, "away_weight": 1)";
    /// A region whose engines stop taking work for the middle third; none when negative.
    int failingRegion = -1;
    std::uint64_t seed = 1;
};

/// What came of a run.
struct SiteResult
{
    double interactiveP50 = 0;
    double interactiveP99 = 0;
    double deferrableP99 = 0;
    /// Seconds of prefill per thousand requests.
    double cost = 0;
    /// Part of all requests served in another region.
    double away = 0;
    double cacheHits = 0;
    std::size_t requests = 0;
    std::size_t finished = 0;
    std::size_t refusals = 0;
};

/// Runs @p policy on the arrivals that @p config and its seed determine.
SiteResult runSite(const SiteConfig &config, Policy policy, Scope scope);

} // namespace Portpaddle
