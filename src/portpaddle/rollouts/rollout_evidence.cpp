// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_evidence.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <set>

namespace Portpaddle {

void RolloutEvidence::keepOnly(const Rollouts &rollouts)
{
    std::set<std::uint64_t> open;
    for (const auto &[service, rollout] : rollouts) {
        if (rollout.isOpen()) {
            open.insert(rollout.order->id);
            reports_[rollout.order->id].order = rollout.order->id;
        }
    }
    std::erase_if(reports_, [&open](const auto &entry) { return !open.contains(entry.first); });
}

RolloutTicket RolloutEvidence::sent(const Rollout &rollout, const std::string &route, const std::string &version)
{
    if (!rollout.isOpen()) {
        return {};
    }
    const RolloutOrder &order = *rollout.order;
    const bool newer = version == order.version;
    RolloutReport &report = reports_[order.id];
    report.order = order.id;
    report.runningOlder += newer ? 0 : 1;
    return { order.id, newer ? VersionArm::Newer : VersionArm::Older, static_cast<std::uint32_t>(stableHash(route)) };
}

void RolloutEvidence::ended(const RolloutTicket &ticket, const std::optional<AnswerSample> &sample)
{
    const auto found = reports_.find(ticket.order);
    if (found == reports_.end()) {
        return;
    }
    RolloutReport &report = found->second;
    if (ticket.arm == VersionArm::Older) {
        report.runningOlder -= std::min<std::uint64_t>(1, report.runningOlder);
    }
    if (!sample) {
        return;
    }
    RouteCounts &route = report.counts[ticket.route];
    VersionCounts &counts = ticket.arm == VersionArm::Newer ? route.newer : route.older;
    if (sample->failed) {
        ++counts.failed;
    } else {
        ++counts.byTime.at(answerTimeClass(sample->time));
    }
}

std::vector<RolloutReport> RolloutEvidence::reports() const
{
    std::vector<RolloutReport> result;
    result.reserve(reports_.size());
    for (const auto &[order, report] : reports_) {
        result.push_back(report);
    }
    return result;
}

} // namespace Portpaddle
