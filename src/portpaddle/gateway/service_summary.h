// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a daemon tells other regions of a service's upstreams in its own.
#pragma once

#include "portpaddle/gateway/placement.h"
#include "portpaddle/wire/load_generated.h"

#include <array>

namespace Portpaddle {

/// Takes upstreams one by one, gives their means.
class ServiceSummary
{
public:
    /// An upstream that other regions may count on.
    void add(const UpstreamCandidate &upstream);
    /// For the service that digests name by @p key; no upstreams where none was added.
    Wire::ServiceWait told(std::uint64_t key) const;

private:
    std::array<double, urgencyCount> waitMs_{};
    double tokensPerMs_ = 0;
    double running_ = 0;
    double tokenMs_ = 0;
    std::uint16_t count_ = 0;
};

} // namespace Portpaddle
