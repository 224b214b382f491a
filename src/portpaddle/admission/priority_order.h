// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders requests by the priorities of their organisations and routes.
#pragma once

#include "portpaddle/admission/urgency.h"

#include <compare>
#include <map>

namespace Portpaddle {

/// The least urgent priority that upstreams know; it is for requests that are served after all others.
inline constexpr unsigned lowestUpstreamPriority = 9;

/// The priority of a request, zero first. The organisation's takes precedence; among organisations of one priority the route's
/// decides.
struct RequestPriority
{
    unsigned organisation = 0;
    unsigned route = 0;

    auto operator<=>(const RequestPriority &) const = default;
};

/// The order of all priorities in force, and the class of each.
class PriorityOrder
{
public:
    PriorityOrder() = default;
    /// @p weights holds each priority in force with its expected share of the requests, on any scale.
    explicit PriorityOrder(const std::map<RequestPriority, double> &weights);

    /// Returns the priority that upstreams are told: that of the organisation, or a less urgent one that keeps apart the
    /// priorities in force, but never lowestUpstreamPriority.
    unsigned upstreamPriorityOf(RequestPriority priority) const;
    Urgency urgencyOf(RequestPriority priority) const;

private:
    struct Place
    {
        unsigned upstreamPriority = 0;
        Urgency urgency = Urgency::Urgent;
    };

    void assignUpstreamPriorities();

    std::map<RequestPriority, Place> places_;
};

} // namespace Portpaddle
