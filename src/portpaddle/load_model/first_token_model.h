// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Learns how long the upstreams of one service take to the first token.
#pragma once

#include "portpaddle/admission/urgency.h"
#include "portpaddle/interfaces/clock.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace Portpaddle {

/// The time to the first token of one request.
struct FirstTokenSample
{
    /// Key of the upstream, see upstreamKey().
    std::uint32_t upstream = 0;
    /// Prompt tokens that the sender expected the upstream to prefill, those of earlier requests included.
    double tokens = 0;
    double ms = 0;
    Urgency urgency = Urgency::Usual;
    /// Whether the request ended without a first token, which would have taken longer than ms.
    bool unfinished = false;
};

/// Upper bounds of plausible samples; others are ignored.
inline constexpr double maxSampleTokens = 4'000'000;
inline constexpr double maxSampleMs = 60'000;

/// Maximum number of upstreams whose slowness is kept, several times those of the largest planned region.
inline constexpr std::size_t maxKeptUpstreams = 16'384;

/// The predicted time is fixedMs + tokens x msPerToken, times the slowness of the upstream.
class FirstTokenModel
{
public:
    void learn(const FirstTokenSample &sample, SteadyTime now);
    /// Removes what is known of an upstream that is gone.
    void forget(std::uint32_t upstream);

    /// Time that a request without prompt tokens takes at an idle upstream.
    double fixedMs() const;
    double msPerToken() const;
    /// Returns the time at @p upstream as a multiple of that at the service's other upstreams.
    double slowness(std::uint32_t upstream, SteadyTime now) const;
    /// Returns the number of upstreams whose slowness is kept.
    std::size_t keptUpstreams() const;
    /// Returns the time after the predicted one within which most requests of @p urgency get their first token.
    double marginMs(Urgency urgency) const;

private:
    struct Slowness
    {
        double logFactor = 0;
        SteadyTime at{};
    };

    double logSlowness(std::uint32_t upstream, SteadyTime now) const;
    void keepSlowness(std::uint32_t upstream, double logFactor, SteadyTime now);

    // Of current engines: 110 tokens in a millisecond, interrupted by a decode step of 3 ms after each 2,048 tokens.
    double fixedMs_ = 45;
    double msPerToken_ = 1.0 / 94;
    std::unordered_map<std::uint32_t, Slowness> slowness_;
    std::array<double, urgencyCount> marginsMs_{};
};

} // namespace Portpaddle
