// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Finds out whether a part of prompts, under which upstreams ended, is to blame: no request that holds it is completed.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Portpaddle {

/// A part is asked about once so many upstreams ended under it: one ends by chance, and so may two that end soon after each
/// other.
inline constexpr std::size_t endsBeforeInquiry = 3;

/// What an inquiry has found.
enum class PartVerdict { Open, Innocent, Guilty };

/// Asks all daemons what they completed while upstreams ended under a part. Belongs to one event loop.
class PartInquiries
{
public:
    /// A question to the daemons that have not answered it.
    struct Question
    {
        RequestFingerprint part;
        /// Completions count from this time on: shortly before the first of the upstreams ended on which the suspicion rests.
        SteadyTime since;
    };

    /// Records that an upstream, given by the hash of its incarnation, ended under @p part. Begins to ask about the part once
    /// several have, unless it was asked about a moment ago.
    void noteEnd(const RequestFingerprint &part, std::uint64_t upstream, SteadyTime now);
    /// Records the answer of a daemon: whether it completed a request with the part, and how many with a prompt in all.
    void answered(const RequestFingerprint &part, const std::string &daemon, bool completedPart, unsigned completions,
                  SteadyTime now);
    /// Returns what is to be asked now. Call once in each digest interval.
    std::vector<Question> dueQuestions(SteadyTime now);
    /// Returns the parts that are to blame, as judged with @p daemons daemons to answer, and ends all inquiries that are over.
    std::vector<RequestFingerprint> takeGuilty(std::size_t daemons, SteadyTime now);
    /// Returns the number of parts of which something is kept.
    std::size_t size() const;

private:
    struct End
    {
        std::uint64_t upstream;
        SteadyTime at;
    };

    struct Inquiry
    {
        /// The last upstreams that ended under the part.
        std::deque<End> ends;
        SteadyTime openedAt{};
        bool isOpen = false;
        bool isInnocent = false;
        /// By daemon, how many requests it has completed.
        std::map<std::string, unsigned> answers;
    };

    static PartVerdict judge(const Inquiry &inquiry, std::size_t daemons, SteadyTime now);
    static void open(Inquiry &inquiry, SteadyTime now);
    void forgetOld(SteadyTime now);

    std::map<RequestFingerprint, Inquiry> inquiries_;
};

} // namespace Portpaddle
