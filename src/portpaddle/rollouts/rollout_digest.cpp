// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_digest.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>

namespace Portpaddle {

namespace {

std::uint32_t bounded(std::uint64_t count)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

Wire::RolloutCount encodeCounts(std::uint32_t route, bool newer, const VersionCounts &counts)
{
    std::array<std::uint32_t, answerTimeClasses> byTime{};
    std::transform(counts.byTime.begin(), counts.byTime.end(), byTime.begin(), bounded);
    return { route, newer, bounded(counts.failed), flatbuffers::make_span(byTime) };
}

VersionCounts decodeCounts(const Wire::RolloutCount &encoded)
{
    VersionCounts counts;
    counts.failed = encoded.failed();
    for (std::size_t index = 0; index < answerTimeClasses; ++index) {
        counts.byTime.at(index) = encoded.by_time()->Get(static_cast<flatbuffers::uoffset_t>(index));
    }
    return counts;
}

} // namespace

std::vector<Wire::LoadDigestT> encodeReports(const Wire::LoadDigestT &header, Wire::DigestKind kind,
                                             const std::vector<RolloutReport> &reports)
{
    std::vector<Wire::LoadDigestT> result;
    for (const RolloutReport &report : reports) {
        std::vector<Wire::RolloutCount> counts;
        for (const auto &[route, routeCounts] : report.counts) {
            counts.push_back(encodeCounts(route, false, routeCounts.older));
            counts.push_back(encodeCounts(route, true, routeCounts.newer));
        }
        std::span<const Wire::RolloutCount> rest = counts;
        do {
            const auto chunk = rest.first(std::min(maxDigestRolloutCounts, rest.size()));
            rest = rest.subspan(chunk.size());
            Wire::LoadDigestT digest = header;
            digest.kind = kind;
            digest.rollout_order = report.order;
            digest.rollout_running_older = bounded(report.runningOlder);
            digest.rollout_counts.assign(chunk.begin(), chunk.end());
            result.push_back(std::move(digest));
        } while (!rest.empty());
    }
    return result;
}

RolloutReport decodeReport(const Wire::LoadDigestT &digest)
{
    RolloutReport report;
    report.order = digest.rollout_order;
    report.runningOlder = digest.rollout_running_older;
    for (const Wire::RolloutCount &encoded : digest.rollout_counts) {
        RouteCounts &route = report.counts[encoded.route()];
        (encoded.newer() ? route.newer : route.older) = decodeCounts(encoded);
    }
    return report;
}

} // namespace Portpaddle
