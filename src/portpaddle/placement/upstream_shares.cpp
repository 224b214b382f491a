// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/upstream_shares.h"

#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Portpaddle {

namespace {

// Units of tokens in digests, see wire/load.fbs.
constexpr double tokensUnit = 64;
constexpr double memoryUnit = 256;
// Sums of more upstreams than this are cut to the most loaded ones. What a daemon is told then does not grow with its region.
constexpr std::size_t maxSumsPerShard = maxDigestUpstreams;
// Below these loads an upstream serves another request about as soon as an idle one.
constexpr unsigned minNotableRunning = 3;
constexpr double minNotableTokens = 8'000;

/// Rounds up, so that a small amount does not become zero, and limits the value to what a digest can hold.
std::uint16_t toUnits(double tokens, double unit)
{
    return static_cast<std::uint16_t>(std::min(std::ceil(tokens / unit), double{ std::numeric_limits<std::uint16_t>::max() }));
}

std::uint64_t totalPending(const Wire::UpstreamShare &share)
{
    return std::uint64_t{ share.urgent() } + share.usual() + share.patient() + share.late();
}

} // namespace

std::uint32_t upstreamKey(const std::string &id)
{
    return static_cast<std::uint32_t>(stableHash(id));
}

unsigned shardOf(std::uint32_t upstreamKey)
{
    return upstreamKey % aggregationShards;
}

std::uint32_t toWrappingCounter(double tokens)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(tokens));
}

LoadShare decodeShare(const Wire::UpstreamShare &share)
{
    return { { tokensUnit * share.urgent(), tokensUnit * share.usual(), tokensUnit * share.patient(), tokensUnit * share.late() },
             memoryUnit * share.memory(),
             double(share.running()) };
}

Wire::UpstreamShare encodeShare(std::uint32_t key, const LoadShare &share, double readTokens)
{
    const auto pending
        = [&share](Urgency urgency) { return toUnits(share.pendingTokens.at(static_cast<std::size_t>(urgency)), tokensUnit); };
    return { key,
             toWrappingCounter(readTokens),
             pending(Urgency::Urgent),
             pending(Urgency::Usual),
             pending(Urgency::Patient),
             pending(Urgency::Late),
             toUnits(share.memoryTokens, memoryUnit),
             toUnits(share.running, 1) };
}

std::vector<Wire::UpstreamShare> mostLoaded(std::vector<Wire::UpstreamShare> shares)
{
    if (shares.size() <= maxSumsPerShard) {
        return shares;
    }
    std::erase_if(shares, [](const Wire::UpstreamShare &share) {
        return share.running() < minNotableRunning && static_cast<double>(totalPending(share)) * tokensUnit < minNotableTokens;
    });
    const auto more = [](const Wire::UpstreamShare &one, const Wire::UpstreamShare &other) {
        return std::pair(totalPending(one), one.running()) > std::pair(totalPending(other), other.running());
    };
    const std::size_t count = std::min(shares.size(), maxSumsPerShard);
    std::partial_sort(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), shares.end(), more);
    shares.erase(shares.begin() + static_cast<std::ptrdiff_t>(count), shares.end());
    return shares;
}

} // namespace Portpaddle
