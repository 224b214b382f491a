// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Names of the HTTP headers that the gateway reads and sets; an adapter replaces them by those of its platform.
#pragma once

#include <string>

namespace Portpaddle {

/// The name of each header by its meaning.
struct HeaderNames
{
    /// Identifies one try of a caller; the answer returns it.
    std::string requestId = "X-Request-Id";
    /// Milliseconds for which the caller still waits.
    std::string timeLeft = "X-Request-Timeout-Ms";
    /// "PROMPT,MAX_OUT": the tokens of the prompt and the maximum number of tokens of the answer.
    std::string tokenCounts = "X-Token-Counts";
    /// The caller's estimate of the number of tokens of the answer.
    std::string lengthHint = "X-Length-Hint";
    /// "ID:TOKENS,...": the parts of the prompt in order.
    std::string promptParts = "X-Prompt-Parts";
    std::string lastEventId = "Last-Event-ID";
    /// On a request that takes a stream up: the id of the caller's try that brought the first event.
    std::string resumes = "X-Resumes";
    /// An upstream's signature of its answer.
    std::string signature = "X-Signature";
    /// Id of the incarnation of the upstream that is to run the request.
    std::string expectedUpstream = "X-Expected-Upstream";
    /// Id of the incarnation of the upstream that answers.
    std::string answeringUpstream = "X-Upstream";
    /// In answers of an upstream that did not run the request.
    std::string notRun = "X-Not-Run";
    /// In answers of an overloaded upstream: requests per second that it accepts from all daemons together.
    std::string upstreamLimit = "X-Upstream-Limit";
    /// In answers of a brittle upstream: the rejections for want of room that it bears in a second before it falls over.
    std::string upstreamBrittle = "X-Upstream-Brittle";
    /// "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE" in answers: the load of the upstream, and the time that its work
    /// takes in percent of the usual time.
    std::string upstreamLoad = "X-Upstream-Load";
    /// In answers of an upstream that accepts no new requests in its current incarnation.
    std::string upstreamLeaving = "X-Upstream-Leaving";
    std::string priority = "X-Priority";
    /// This and the next five headers are set by daemons only; they are removed from callers' requests.
    std::string memoryHold = "X-Memory-Hold";
    std::string pinFor = "X-Pin-Ms";
    std::string memoryBackup = "X-Memory-Backup";
    std::string memoryFrom = "X-Memory-From";
    std::string memoryFetch = "X-Memory-Fetch";
    std::string expectedVersion = "X-Expected-Version";
    /// Names the organisation to upstreams.
    std::string organisation = "X-Organisation";
    /// The caller's key; the first daemon removes it if the configuration has organisations.
    std::string authorization = "Authorization";
};

} // namespace Portpaddle
