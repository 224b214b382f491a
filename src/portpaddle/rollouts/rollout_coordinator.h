// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon's part in all rollouts: counts answers, reports them, and decides where it is a controller.
#pragma once

#include "portpaddle/rollouts/rollout_controller.h"
#include "portpaddle/rollouts/rollout_evidence.h"
#include "portpaddle/rollouts/rollout_relay.h"

namespace Portpaddle {

/// Belongs to one event loop.
class RolloutCoordinator
{
public:
    RolloutCoordinator(std::string ownId, std::string ownRegion, std::uint64_t life, RolloutRelay::IsSilent isSilent);

    void setTerms(const RolloutTerms &terms);
    void setWriter(RolloutController::WriteRecord write);
    void setView(std::shared_ptr<const FleetView> view);

    /// Returns the rule for the versions of @p service; no value if all are alike.
    std::optional<VersionRule> rule(const std::string &service) const;
    /// Records that a request was sent to an upstream of @p version; see RolloutEvidence.
    RolloutTicket sent(const std::string &service, const std::string &route, const std::string &version);
    void ended(const RolloutTicket &ticket, const std::optional<AnswerSample> &sample);

    /// Returns the digests to send now; call several times a second.
    std::vector<OutgoingDigest> due(const Wire::LoadDigestT &header, SteadyTime now);
    /// Applies a RolloutReport or RolloutSum digest.
    void take(const Wire::LoadDigestT &digest, SteadyTime now);

private:
    std::shared_ptr<const FleetView> view_;
    bool anyOpen_ = false;
    SteadyTime reportedAt_{};
    RolloutEvidence evidence_;
    RolloutRelay relay_;
    RolloutController controller_;
};

} // namespace Portpaddle
