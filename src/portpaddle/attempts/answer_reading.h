// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads answers of upstreams and of other daemons; what an answer may look like is decided here.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/net/received_body.h"

#include <boost/beast/http/parser.hpp>

namespace Portpaddle {

using AnswerParser = boost::beast::http::response_parser<ReceivedBody>;

/// Reads the next head, up to the parser's limit; @p error is set if there is none, or one that leaves unknown what follows it.
Task<void> readAnswerHead(UpstreamConnection &connection, AnswerParser &parser, NetError &error);
/// Reads more of the body. An answer that ends with its connection is cut, with @p error set, if any call on the connection has
/// failed.
Task<void> readMore(UpstreamConnection &connection, AnswerParser &parser, NetError &error);

} // namespace Portpaddle
