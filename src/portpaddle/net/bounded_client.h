// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Blocking calls over HTTP to peers that may answer anything.
#pragma once

#include "portpaddle/net/checked_client.h"

namespace Portpaddle {

/// A client that gives up an answer whose head has too long lines, is too long or takes too long; see PeerBounds. The library
/// matches a status line by a recursive pattern, so that a line of a few thousand bytes would overflow the stack. The body is for
/// the receiver to bound.
class BoundedClient : public CheckedClient
{
public:
    using CheckedClient::CheckedClient;

private:
    std::unique_ptr<CheckedStream> check(httplib::Stream &stream) const override;
};

} // namespace Portpaddle
