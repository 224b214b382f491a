// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Links to the daemons of other data centres, opened when needed and kept.
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

/// Forwards calls and asks other daemons.
class PeerLinks : public PeerForwarder
{
public:
    PeerLinks(PeerIdentity self, std::string clusterKey, Blackboard &board, const Clock &clock, Metrics &metrics);

    AttemptResult forward(const std::string &dataCentre, const Call &call, const RequestPolicy &policy, Millis timeLeft,
                          AnswerSink &sink) override;
    /// Asks one daemon by its name.
    Result<std::optional<std::string>> ask(const std::string &daemon, const std::string &kind, const std::string &argument);
    void closeAll();

private:
    /// Members of a data centre that may be asked, in this daemon's own order of preference.
    std::vector<MemberView> candidates(const std::string &dataCentre) const;
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
