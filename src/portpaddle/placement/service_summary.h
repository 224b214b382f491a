// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Summarises the upstreams of a service in the own region for the digests to other regions.
#pragma once

#include "portpaddle/placement/placement.h"
#include "portpaddle/wire/load_generated.h"

#include <array>

namespace Portpaddle {

/// Adds up upstreams, which may stand for others that are not added, and returns their means.
class ServiceSummary
{
public:
    /// Each added upstream stands for @p represented upstreams.
    explicit ServiceSummary(double represented = 1);

    /// Adds an upstream that other regions may use.
    void add(const UpstreamCandidate &upstream);
    /// Returns the summary of the service that digests name by @p key; its upstream count is zero where none was added.
    Wire::ServiceWait toWire(std::uint64_t key) const;

private:
    std::array<double, urgencyCount> waitMs_{};
    double tokensPerMs_ = 0;
    double running_ = 0;
    double tokenMs_ = 0;
    std::uint16_t count_ = 0;
    double represented_;
};

} // namespace Portpaddle
