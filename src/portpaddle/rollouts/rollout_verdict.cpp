// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_verdict.h"

#include "portpaddle/base/name_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

constexpr NameTable<RolloutFault, 3> faultNames{ { "none", "failures", "slowness" } };

// An answer is slow from four classes above the median of the older versions: 2.8 to 4 times the median, since the median may lie
// anywhere in its class.
constexpr std::size_t classesUntilSlow = 4;
// Counts are compared many times during a rollout and on every route. At this many standard deviations above what is expected,
// chance exceeds the bound once in some 100,000 comparisons.
constexpr double significantDeviations = 4.5;
// A few bad answers more than expected prove nothing, whatever their significance.
constexpr double minExcess = 6;
// By how many standard errors the share of bad answers of the older versions may be above the share that was counted.
constexpr double shareErrors = 2;
// With fewer answers of the older versions their share of bad answers is not known.
constexpr std::uint64_t minOlderAnswers = 30;

bool isExcess(std::uint64_t bad, std::uint64_t answers, std::uint64_t olderBad, std::uint64_t olderAnswers)
{
    if (answers == 0 || olderAnswers < minOlderAnswers) {
        return false;
    }
    const auto older = static_cast<double>(olderAnswers);
    const double counted = (static_cast<double>(olderBad) + 0.5) / (older + 1);
    const double share = std::min(1.0, counted + shareErrors * std::sqrt(counted * (1 - counted) / older));
    const double expected = share * static_cast<double>(answers);
    const double excess = static_cast<double>(bad) - expected;
    const double deviation = std::sqrt(expected * (1 - share)) + 0.5;
    return excess >= minExcess && excess >= significantDeviations * deviation;
}

RolloutVerdict judgeRoute(const RouteCounts &counts)
{
    const VersionCounts &newer = counts.newer;
    const VersionCounts &older = counts.older;
    if (isExcess(newer.failed, newer.all(), older.failed, older.all())) {
        return { RolloutFault::Failures, newer.failed, newer.all() };
    }
    const std::size_t firstSlow = older.medianClass() + classesUntilSlow;
    if (isExcess(newer.slow(firstSlow), newer.succeeded(), older.slow(firstSlow), older.succeeded())) {
        return { RolloutFault::Slowness, newer.slow(firstSlow), newer.succeeded() };
    }
    return {};
}

} // namespace

std::string_view nameOf(RolloutFault fault)
{
    return faultNames[fault];
}

bool RolloutVerdict::isBad() const
{
    return fault != RolloutFault::None;
}

std::string RolloutVerdict::text() const
{
    return isBad() ? fmt::format("{}: {} of {} answers", nameOf(fault), bad, answers) : std::string();
}

// The new version receives the same mix of requests as the older ones, because each request draws its version at random. So the
// sums over all routes can be compared too, which finds a fault that is rare on every single route.
RolloutVerdict judge(const RolloutCounts &counts)
{
    RouteCounts all;
    for (const auto &[route, routeCounts] : counts) {
        const RolloutVerdict verdict = judgeRoute(routeCounts);
        if (verdict.isBad()) {
            return verdict;
        }
        all += routeCounts;
    }
    return judgeRoute(all);
}

} // namespace Portpaddle
