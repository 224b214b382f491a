// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Portpaddle {

namespace {

// Times up to this one share the first class.
constexpr double firstClassMs = 8;
constexpr double classesPerOctave = 2;

void subtract(std::uint64_t &from, std::uint64_t amount)
{
    from -= std::min(from, amount);
}

} // namespace

std::size_t answerTimeClass(std::chrono::duration<double, std::milli> time)
{
    if (time.count() <= firstClassMs) {
        return 0;
    }
    const double octaves = std::log2(time.count() / firstClassMs);
    return std::min(answerTimeClasses - 1, static_cast<std::size_t>(octaves * classesPerOctave) + 1);
}

std::uint64_t VersionCounts::succeeded() const
{
    return std::accumulate(byTime.begin(), byTime.end(), std::uint64_t{ 0 });
}

std::uint64_t VersionCounts::all() const
{
    return failed + succeeded();
}

std::uint64_t VersionCounts::slow(std::size_t firstClass) const
{
    const std::size_t first = std::min(firstClass, byTime.size());
    return std::accumulate(byTime.begin() + static_cast<std::ptrdiff_t>(first), byTime.end(), std::uint64_t{ 0 });
}

std::size_t VersionCounts::medianClass() const
{
    const std::uint64_t half = succeeded() / 2;
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < byTime.size(); ++index) {
        below += byTime.at(index);
        if (below > half) {
            return index;
        }
    }
    return 0;
}

VersionCounts &VersionCounts::operator+=(const VersionCounts &other)
{
    failed += other.failed;
    std::transform(byTime.begin(), byTime.end(), other.byTime.begin(), byTime.begin(), std::plus<>());
    return *this;
}

VersionCounts &VersionCounts::operator-=(const VersionCounts &earlier)
{
    subtract(failed, earlier.failed);
    for (std::size_t index = 0; index < byTime.size(); ++index) {
        subtract(byTime.at(index), earlier.byTime.at(index));
    }
    return *this;
}

RouteCounts &RouteCounts::operator+=(const RouteCounts &other)
{
    older += other.older;
    newer += other.newer;
    return *this;
}

RouteCounts &RouteCounts::operator-=(const RouteCounts &earlier)
{
    older -= earlier.older;
    newer -= earlier.newer;
    return *this;
}

RolloutCounts &operator+=(RolloutCounts &counts, const RolloutCounts &other)
{
    for (const auto &[route, routeCounts] : other) {
        counts[route] += routeCounts;
    }
    return counts;
}

RolloutCounts countedSince(const RolloutCounts &counts, const RolloutCounts &earlier)
{
    RolloutCounts result = counts;
    for (const auto &[route, routeCounts] : earlier) {
        result[route] -= routeCounts;
    }
    return result;
}

} // namespace Portpaddle
