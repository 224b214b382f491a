// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What other daemons' requests at one upstream amount to.
#pragma once

#include "portpaddle/gateway/placement.h"
#include "portpaddle/net/asio.h"

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
    /// Nothing falls below zero.
    LoadShare &operator-=(const LoadShare &other);
};

/// Keeps the sum of all shares that are fresh, so that reading it costs the same for any number of daemons.
class PeerShares
{
public:
    /// Replaces the share of @p daemon. @p readTokens counts what it ever sent to be read, and wraps. Gives what it sent since
    /// its last share; nothing where it is new or counts anew.
    double take(const std::string &daemon, const LoadShare &share, std::uint32_t readTokens, SteadyTime now);
    const LoadShare &sum(SteadyTime now) const;

private:
    struct Entry
    {
        LoadShare share;
        std::uint32_t readTokens = 0;
        SteadyTime at;
        /// It is part of the sum.
        bool counted = false;
    };

    void addUp(SteadyTime now) const;

    mutable std::unordered_map<std::string, Entry> entries_;
    mutable LoadShare sum_;
    /// No entry of the sum is older than allowed before this.
    mutable SteadyTime freshUntil_ = SteadyTime::max();
};

} // namespace Portpaddle
