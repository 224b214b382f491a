// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Sends calls to upstreams over HTTP.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"

namespace Portpaddle {

/// Opens a connection for each call, so that it is always known whether a call can have left.
class HttpUpstreamClient : public UpstreamClient
{
public:
    AttemptResult attempt(const std::string &address, const Call &call, Millis timeLeft, AnswerSink &sink) override;
};

/// Headers that belong to one connection and are never passed on.
bool isHopByHopHeader(const std::string &name);

} // namespace Portpaddle
