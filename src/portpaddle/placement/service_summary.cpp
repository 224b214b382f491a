// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/service_summary.h"

#include <algorithm>
#include <limits>

namespace Portpaddle {

ServiceSummary::ServiceSummary(double represented) : represented_(represented)
{
}

void ServiceSummary::add(const UpstreamCandidate &upstream)
{
    for (const Urgency urgency : { Urgency::Urgent, Urgency::Usual, Urgency::Patient }) {
        PlacementRequest request;
        request.urgency = urgency;
        waitMs_.at(static_cast<std::size_t>(urgency)) += predictedFirstTokenMs(upstream, request);
    }
    tokensPerMs_ += upstream.tokensPerMs / upstream.slowness;
    running_ += upstream.running;
    tokenMs_ += predictedTokenMs(upstream);
    ++count_;
}

Wire::ServiceWait ServiceSummary::toWire(std::uint64_t key) const
{
    const double share = count_ > 0 ? 1.0 / count_ : 0;
    const auto wait = [this, share](Urgency urgency) {
        return static_cast<std::uint32_t>(waitMs_.at(static_cast<std::size_t>(urgency)) * share);
    };
    return { key,
             wait(Urgency::Urgent),
             wait(Urgency::Usual),
             wait(Urgency::Patient),
             static_cast<std::uint16_t>(std::min<double>(count_ * represented_, std::numeric_limits<std::uint16_t>::max())),
             static_cast<float>(tokensPerMs_ * share),
             static_cast<float>(running_ * share),
             static_cast<float>(tokenMs_ * share) };
}

} // namespace Portpaddle
