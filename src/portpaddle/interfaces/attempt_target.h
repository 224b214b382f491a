// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Whatever can be asked to answer a call: an upstream or a daemon of another data centre.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"
#include "portpaddle/routing/decision.h"

#include <string>
#include <vector>

namespace Portpaddle {

/// A request on its way through the system.
struct Call
{
    RequestFacts facts;
    std::string method = "POST";
    std::string path;
    std::vector<HeaderField> headers;
    std::string body;
    /// The caller reads the answer as a stream of tokens.
    bool streamed = false;
    /// The settings forbid running it twice.
    bool atMostOnce = false;
    /// The right to run it was claimed by the daemon that forwarded it.
    bool claimed = false;
    /// Whether it may be sent again when it is not known whether it ran.
    bool retryable = false;
    std::string idempotencyKey;
    /// Tokens that the caller already has.
    unsigned resumeFrom = 0;
};

/// How an attempt ended.
enum class AttemptEnd {
    /// The whole answer reached the sink.
    Complete,
    /// Provably not run; nothing reached the sink.
    NotRun,
    /// The target may have run it; the answer is missing or cut.
    Broken,
    /// The receiver went away.
    ReceiverGone,
};

/// The outcome of an attempt with the error that explains it.
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
