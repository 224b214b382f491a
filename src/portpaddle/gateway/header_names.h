// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Names of the HTTP headers that carry what the gateway reads and sets; an adapter replaces them by those of its platform.
#pragma once

#include <string>

namespace Portpaddle {

/// One name for each meaning.
struct HeaderNames
{
    /// Identifies one try of a caller; returned with its answer.
    std::string requestId = "X-Request-Id";
    /// Milliseconds that the caller still waits.
    std::string timeLeft = "X-Request-Timeout-Ms";
    /// "PROMPT,MOST_OUT" in tokens.
    std::string tokenCounts = "X-Token-Counts";
    /// The caller's estimate of the tokens that the answer will have.
    std::string lengthHint = "X-Length-Hint";
    /// "ID:TOKENS,..." of the prompt's parts in order.
    std::string promptParts = "X-Prompt-Parts";
    std::string lastEventId = "Last-Event-ID";
    /// Signature of an upstream over its answer.
    std::string signature = "X-Signature";
    /// The life of the upstream that shall run the request.
    std::string expectedUpstream = "X-Expected-Upstream";
    /// The life of the upstream that answers.
    std::string answeringUpstream = "X-Upstream";
    /// An upstream says that it did not run the request.
    std::string notRun = "X-Not-Run";
    /// In answers of an upstream in need: requests a second that it takes from all daemons together.
    std::string upstreamLimit = "X-Upstream-Limit";
    /// In answers of an upstream that takes no new requests for the rest of its life.
    std::string upstreamLeaving = "X-Upstream-Leaving";
    std::string priority = "X-Priority";
    /// Set by daemons only; removed from what callers send.
    std::string memoryHold = "X-Memory-Hold";
    std::string pinFor = "X-Pin-Ms";
    std::string memoryBackup = "X-Memory-Backup";
    std::string memoryFrom = "X-Memory-From";
    std::string memoryFetch = "X-Memory-Fetch";
    std::string expectedVersion = "X-Expected-Version";
    /// Tells upstreams whose request it is.
    std::string organisation = "X-Organisation";
    /// A caller's proof of its organisation; ends at the first daemon where a configuration knows organisations.
    std::string authorization = "Authorization";
};

} // namespace Portpaddle
