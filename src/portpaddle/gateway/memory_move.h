// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Moves the memory of a run from an engine that is about to end to another one.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_orders.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Portpaddle {

/// What came of a move.
struct MemoryMove
{
    /// Where the copy can be continued from; no value if there is none.
    std::optional<std::string> from;
    /// There is no copy: the run goes on where it was.
    bool atSource = false;
    /// For the log.
    std::string outcome;
};

/// Told of the head of each answer to an order.
using HearOrderAnswer = std::function<void(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head)>;

/// Orders the move and waits for its end, at most @p longest.
Task<MemoryMove> moveMemory(ConnectionPool &pool, const UpstreamOrders &orders, const std::string &requestId,
                            const UpstreamRecord &source, const UpstreamRecord &target, std::chrono::milliseconds longest,
                            const HearOrderAnswer &hear);

} // namespace Portpaddle
