// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/peer_shares.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Digests come several times a second; a daemon that was silent for this long is not counted any more.
constexpr std::chrono::milliseconds maxShareAge{ 1'500 };
// Upper bound of the tokens between two shares of one daemon; a larger step means that its counter was restarted.
constexpr std::uint32_t maxStepTokens = 50'000'000;

} // namespace

LoadShare &LoadShare::operator+=(const LoadShare &other)
{
    for (std::size_t level = 0; level < urgencyCount; ++level) {
        pendingTokens.at(level) += other.pendingTokens.at(level);
    }
    memoryTokens += other.memoryTokens;
    running += other.running;
    return *this;
}

LoadShare &LoadShare::operator-=(const LoadShare &other)
{
    for (std::size_t level = 0; level < urgencyCount; ++level) {
        pendingTokens.at(level) = std::max(0.0, pendingTokens.at(level) - other.pendingTokens.at(level));
    }
    memoryTokens = std::max(0.0, memoryTokens - other.memoryTokens);
    running = std::max(0.0, running - other.running);
    return *this;
}

double PeerShares::update(const std::string &daemon, const LoadShare &share, std::uint32_t readTokens, SteadyTime now)
{
    const auto [found, added] = entries_.try_emplace(daemon);
    Entry &entry = found->second;
    // Unsigned, so that a counter that wraps gives the right step; one that was restarted gives a huge step, which is ignored.
    const std::uint32_t step = readTokens - entry.readTokens;
    if (entry.counted) {
        sum_ -= entry.share;
    }
    entry = { share, readTokens, now, true };
    sum_ += share;
    freshUntil_ = std::min(freshUntil_, now + maxShareAge);
    return added || step >= maxStepTokens ? 0 : step;
}

const LoadShare &PeerShares::sum(SteadyTime now) const
{
    if (now >= freshUntil_) {
        recomputeSum(now);
    }
    return sum_;
}

void PeerShares::recomputeSum(SteadyTime now) const
{
    sum_ = {};
    freshUntil_ = SteadyTime::max();
    for (auto &[daemon, entry] : entries_) {
        entry.counted = now - entry.at < maxShareAge;
        if (entry.counted) {
            sum_ += entry.share;
            freshUntil_ = std::min(freshUntil_, entry.at + maxShareAge);
        }
    }
}

} // namespace Portpaddle
