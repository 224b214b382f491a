// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Sums the load that other daemons' requests put on one upstream.
#pragma once

#include "portpaddle/net/asio.h"
#include "portpaddle/placement/placement.h"

#include <string>
#include <unordered_map>

namespace Portpaddle {

/// The load of some requests at one upstream.
struct LoadShare
{
    PendingTokens pendingTokens{};
    double memoryTokens = 0;
    double running = 0;

    LoadShare &operator+=(const LoadShare &other);
    /// Subtracts @p other; no value falls below zero.
    LoadShare &operator-=(const LoadShare &other);
};

/// Keeps the sum of all recent shares, so that reading it costs the same for any number of daemons.
class PeerShares
{
public:
    /// Replaces the share of @p daemon. @p readTokens is the daemon's wrapping counter of tokens sent for prefill. Returns the
    /// increase since its last share; zero for a new daemon or a restarted counter.
    double update(const std::string &daemon, const LoadShare &share, std::uint32_t readTokens, SteadyTime now);
    const LoadShare &sum(SteadyTime now) const;

private:
    struct Entry
    {
        LoadShare share;
        std::uint32_t readTokens = 0;
        SteadyTime at;
        /// Whether the share is part of the sum.
        bool counted = false;
    };

    void recomputeSum(SteadyTime now) const;

    mutable std::unordered_map<std::string, Entry> entries_;
    mutable LoadShare sum_;
    /// Before this time no entry of the sum is too old.
    mutable SteadyTime freshUntil_ = SteadyTime::max();
};

} // namespace Portpaddle
