// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts of answers by route and version, from which a rollout is judged.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Portpaddle {

/// Number of classes of answer times. Each class is half an octave wide.
inline constexpr std::size_t answerTimeClasses = 20;

/// Returns the class of the time that an answer took.
std::size_t answerTimeClass(std::chrono::duration<double, std::milli> time);

/// The answers of one version on one route.
struct VersionCounts
{
    /// Answers that report a failure.
    std::uint64_t failed = 0;
    /// Other answers, by the class of their times.
    std::array<std::uint64_t, answerTimeClasses> byTime{};

    std::uint64_t succeeded() const;
    std::uint64_t all() const;
    /// Returns the answers of a class at or above @p firstClass.
    std::uint64_t slow(std::size_t firstClass) const;
    /// Returns the class that contains the median; zero if there is no answer.
    std::size_t medianClass() const;
    VersionCounts &operator+=(const VersionCounts &other);
    /// Subtracts earlier counts; a count that fell stays zero.
    VersionCounts &operator-=(const VersionCounts &earlier);
};

struct RouteCounts
{
    VersionCounts older;
    VersionCounts newer;

    RouteCounts &operator+=(const RouteCounts &other);
    RouteCounts &operator-=(const RouteCounts &earlier);
};

/// By the key of the route.
using RolloutCounts = std::map<std::uint32_t, RouteCounts>;

RolloutCounts &operator+=(RolloutCounts &counts, const RolloutCounts &other);
/// Returns what was counted since @p earlier.
RolloutCounts countedSince(const RolloutCounts &counts, const RolloutCounts &earlier);

} // namespace Portpaddle
