// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Sends calls to upstreams over HTTP.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"

namespace Portpaddle {

/// Opens a new connection for each call, so that it is always known whether the call can have been sent.
class HttpUpstreamClient : public UpstreamClient
{
public:
    AttemptResult attempt(const std::string &address, const Call &call, Millis timeLeft, AnswerSink &sink) override;
};

/// Returns whether the header @p name concerns one connection only and must not be forwarded.
bool isHopByHopHeader(const std::string &name);

} // namespace Portpaddle
