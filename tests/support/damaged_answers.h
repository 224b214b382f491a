// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Readers of answers whose bytes a test damages.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/streams/memory_move.h"
#include "support/gateway_site.h"
#include "support/recording_sink.h"
#include "support/scripted_upstream.h"

#include <atomic>
#include <string>

namespace Portpaddle {

/// Two upstreams that send @ref bytes and close, while there are any, and else a stream of two events or a whole answer.
class DamagedAnswerSite : public GatewaySite
{
public:
    DamagedAnswerSite();

    /// Returns the number of requests that the upstreams have received.
    std::size_t seen() const;

    std::string bytes;
    /// Only the first request of all gets @ref bytes.
    bool onlyFirst = false;
    ScriptedUpstream one{ [this](const SeenRequest &request) { return answer(request); } };
    ScriptedUpstream other{ [this](const SeenRequest &request) { return answer(request); } };

private:
    ScriptedAnswer answer(const SeenRequest &request);

    std::atomic<unsigned> asked_{ 0 };
};

/// Returns a peer that answers every request with @p bytes and closes.
ScriptedUpstream peerThatSends(const std::string &bytes);
/// Returns what an order to copy a run's memory brought, whose answer has @p bytes.
MemoryMove orderAnsweredBy(const std::string &bytes);
/// Sends a request as a daemon on settings does, to an upstream that answers with @p bytes.
AttemptResult askOnSettings(const std::string &bytes, AnswerSink &sink);

} // namespace Portpaddle
