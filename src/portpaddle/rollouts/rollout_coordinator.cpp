// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_coordinator.h"

#include "portpaddle/store_following/fleet_view.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// A bad version must be rolled back within seconds, and two reports lie between an answer and the decision.
constexpr std::chrono::milliseconds reportInterval{ 500 };

} // namespace

RolloutCoordinator::RolloutCoordinator(std::string ownId, std::string ownRegion, std::uint64_t life,
                                       RolloutRelay::IsSilent isSilent)
    : view_(std::make_shared<const FleetView>()), relay_(std::move(ownId), std::move(ownRegion), life, std::move(isSilent))
{
}

void RolloutCoordinator::setTerms(const RolloutTerms &terms)
{
    controller_.setTerms(terms);
}

void RolloutCoordinator::setWriter(RolloutController::WriteRecord write)
{
    controller_.setWriter(std::move(write));
}

void RolloutCoordinator::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    anyOpen_
        = std::any_of(view_->rollouts.begin(), view_->rollouts.end(), [](const auto &entry) { return entry.second.isOpen(); });
    evidence_.keepOnly(view_->rollouts);
    relay_.setView(view_);
}

std::optional<VersionRule> RolloutCoordinator::rule(const std::string &service) const
{
    const auto rollout = view_->rollouts.find(service);
    return rollout == view_->rollouts.end() ? std::nullopt : versionRule(rollout->second, view_->storeReachable);
}

RolloutTicket RolloutCoordinator::sent(const std::string &service, const std::string &route, const std::string &version)
{
    const auto rollout = view_->rollouts.find(service);
    return rollout == view_->rollouts.end() ? RolloutTicket{} : evidence_.sent(rollout->second, route, version);
}

void RolloutCoordinator::ended(const RolloutTicket &ticket, const std::optional<AnswerSample> &sample)
{
    evidence_.ended(ticket, sample);
}

std::vector<OutgoingDigest> RolloutCoordinator::due(const Wire::LoadDigestT &header, SteadyTime now)
{
    if (!anyOpen_ || now - reportedAt_ < reportInterval) {
        return {};
    }
    reportedAt_ = now;
    std::vector<OutgoingDigest> digests = relay_.due(header, evidence_.reports(), now);
    controller_.evaluate(*view_, relay_, relay_.controllerRank(now), now);
    return digests;
}

void RolloutCoordinator::take(const Wire::LoadDigestT &digest, SteadyTime now)
{
    relay_.take(digest, now);
}

} // namespace Portpaddle
