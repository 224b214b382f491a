// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The targets of an attempt to run a call: upstreams and daemons of other data centres.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"
#include "portpaddle/routing/decision.h"

#include <string>
#include <vector>

namespace Portpaddle {

/// A request as it is sent to upstreams and forwarded between daemons.
struct Call
{
    RequestFacts facts;
    std::string method = "POST";
    std::string path;
    std::vector<HeaderField> headers;
    std::string body;
    /// Whether the caller reads the answer as a stream of tokens.
    bool streamed = false;
    /// Whether the settings forbid running the call twice.
    bool atMostOnce = false;
    /// Whether the daemon that forwarded the call has acquired the claim to run it.
    bool claimed = false;
    /// Whether the call may be sent again when it is not known whether it ran.
    bool retryable = false;
    std::string idempotencyKey;
    /// The number of tokens that the caller has already received.
    unsigned resumeFrom = 0;
};

/// Between daemons: the version of the service that began a stream. On an answer, and on a call that continues the stream.
inline constexpr const char *streamVersionField = "x-portpaddle-service-version";

/// How an attempt ended.
enum class AttemptEnd {
    /// The complete answer reached the sink.
    Complete,
    /// The call provably did not run, and nothing reached the sink.
    NotRun,
    /// The target may have run the call; the answer is missing or incomplete.
    Broken,
    /// The receiver disconnected.
    ReceiverGone,
};

/// The outcome of an attempt, with the error unless the attempt is complete.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Complete;
    Error error;
};

/// Sends a call to an upstream.
class UpstreamClient
{
public:
    virtual ~UpstreamClient() = default;
    virtual AttemptResult attempt(const std::string &address, const Call &call, Millis timeLeft, AnswerSink &sink) = 0;
};

/// Forwards a call to a daemon of another data centre.
class PeerForwarder
{
public:
    virtual ~PeerForwarder() = default;
    virtual AttemptResult forward(const std::string &dataCentre, const Call &call, const RequestPolicy &policy, Millis timeLeft,
                                  AnswerSink &sink)
        = 0;
};

} // namespace Portpaddle
