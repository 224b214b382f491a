// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/admission/priority_order.h"

#include <algorithm>
#include <vector>

namespace Portpaddle {

namespace {

/// Neighbouring priorities that share a class.
struct PriorityGroup
{
    double weight = 0;
    std::size_t members = 0;
};

/// Returns the position of the two neighbours that weigh least together; of several such pairs the least urgent.
std::size_t lightestPair(const std::vector<PriorityGroup> &groups)
{
    std::size_t lightest = 0;
    for (std::size_t at = 1; at + 1 < groups.size(); ++at) {
        const double weight = groups[at].weight + groups[at + 1].weight;
        if (weight <= groups[lightest].weight + groups[lightest + 1].weight) {
            lightest = at;
        }
    }
    return lightest;
}

} // namespace

// There are few classes, since each one adds to every load digest. Merging the lightest neighbours keeps the priorities apart
// that most requests have. All daemons with the same configuration get the same classes.
PriorityOrder::PriorityOrder(const std::map<RequestPriority, double> &weights)
{
    std::vector<PriorityGroup> groups;
    groups.reserve(weights.size());
    for (const auto &[priority, weight] : weights) {
        groups.push_back({ weight, 1 });
    }
    while (groups.size() > timelyUrgencyCount) {
        const auto first = groups.begin() + static_cast<std::ptrdiff_t>(lightestPair(groups));
        const auto second = first + 1;
        first->weight += second->weight;
        first->members += second->members;
        groups.erase(second);
    }
    auto next = weights.begin();
    for (std::size_t group = 0; group < groups.size(); ++group) {
        for (std::size_t member = 0; member < groups[group].members; ++member, ++next) {
            places_[next->first].urgency = static_cast<Urgency>(group);
        }
    }
    assignUpstreamPriorities();
}

void PriorityOrder::assignUpstreamPriorities()
{
    unsigned least = 0;
    auto left = static_cast<unsigned>(places_.size());
    for (auto &[priority, place] : places_) {
        --left;
        // Leaves room for the priorities that follow.
        const unsigned most = lowestUpstreamPriority - 1 - std::min(left, lowestUpstreamPriority - 1);
        place.upstreamPriority = std::min(std::max(priority.organisation, least), most);
        least = place.upstreamPriority + 1;
    }
}

unsigned PriorityOrder::upstreamPriorityOf(RequestPriority priority) const
{
    const auto place = places_.lower_bound(priority);
    return place == places_.end() ? lowestUpstreamPriority - 1 : place->second.upstreamPriority;
}

Urgency PriorityOrder::urgencyOf(RequestPriority priority) const
{
    const auto place = places_.lower_bound(priority);
    return place == places_.end() ? Urgency::Patient : place->second.urgency;
}

} // namespace Portpaddle
