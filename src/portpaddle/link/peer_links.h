// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Links to other daemons, opened on demand and kept open.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/link/peer_connection.h"
#include "portpaddle/routing/blackboard.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Portpaddle {

class Clock;
class Metrics;

/// Forwards calls to other data centres and sends queries to other daemons.
class PeerLinks : public PeerForwarder
{
public:
    PeerLinks(PeerIdentity self, std::string clusterKey, Blackboard &board, const Clock &clock, Metrics &metrics);

    AttemptResult forward(const std::string &dataCentre, const Call &call, const RequestPolicy &policy, Millis timeLeft,
                          AnswerSink &sink) override;
    /// Sends a query to the daemon named @p daemon; the value is empty if it has no answer.
    Result<std::optional<std::string>> ask(const std::string &daemon, const std::string &kind, const std::string &argument);
    void closeAll();

private:
    /// Returns the usable members of a data centre in this daemon's order of preference.
    std::vector<MemberView> candidates(const std::string &dataCentre) const;
    /// Returns the open link to @p member, or connects to it.
    Result<std::shared_ptr<PeerConnection>> connection(const MemberView &member);

    const PeerIdentity self_;
    const std::string clusterKey_;
    Blackboard &board_;
    const Clock &clock_;
    Metrics &metrics_;
    std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<PeerConnection>> connections_;
    std::unordered_map<std::string, Millis> failedAt_;
};

} // namespace Portpaddle
