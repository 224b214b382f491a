// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Finds the parts of prompts that crash the upstreams that answer on them, whatever else the prompt holds.
#pragma once

#include "portpaddle/crashes/completed_parts.h"
#include "portpaddle/crashes/part_inquiry.h"
#include "portpaddle/fleet/load_aggregation.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Portpaddle {

/// All requests at an upstream break when it ends, so that each part of their prompts is suspected. A part that others complete
/// is not to blame: daemons that count for a part ask all daemons for that before they accuse it. Belongs to one event loop.
class PartGuard
{
public:
    explicit PartGuard(std::string ownId);

    /// Records that an upstream completed a request with these parts in its prompt.
    void recordCompleted(const std::vector<RequestFingerprint> &parts, SteadyTime now);
    /// Records that an upstream, given by the hash of its incarnation, ended under requests of this daemon with these parts.
    void upstreamEnded(std::uint64_t upstream, const std::vector<RequestFingerprint> &parts, SteadyTime now);
    /// Applies what another daemon reports, asks and answers.
    void takeNews(const FleetView &view, const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the digests to send now. Call once in each digest interval; @p header holds the sender.
    std::vector<OutgoingDigest> due(const FleetView &view, const Wire::LoadDigestT &header, SteadyTime now);
    /// Returns the parts that were found to be to blame since the last call.
    std::vector<RequestFingerprint> takeGuilty(const FleetView &view, SteadyTime now);

private:
    struct PendingEnd
    {
        Wire::EndedUnder end;
        unsigned sendsLeft;
    };

    struct PendingAnswer
    {
        std::string link;
        Wire::PartAnswer answer;
    };

    Wire::PartAnswer answerTo(const RequestFingerprint &part, SteadyTime since) const;
    void addEnds(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);
    void addQuestions(const FleetView &view, const Wire::LoadDigestT &header, SteadyTime now, std::vector<OutgoingDigest> &out);
    void addAnswers(const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);

    std::string ownId_;
    CompletedParts completed_;
    PartInquiries inquiries_;
    std::deque<PendingEnd> ends_;
    std::vector<PendingAnswer> answers_;
};

} // namespace Portpaddle
