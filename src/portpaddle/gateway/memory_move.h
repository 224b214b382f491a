// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Moves the memory of a run from an engine that is about to stop to another engine.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_orders.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Portpaddle {

/// The outcome of a move.
struct MemoryMove
{
    /// The source from which the run can continue, as "ADDRESS/HANDLE"; no value if the run cannot continue.
    std::optional<std::string> memorySource;
    /// No copy was made: only the source engine can continue the run.
    bool atSource = false;
    /// A text for the log.
    std::string outcome;
};

/// Called with the head of each answer to an order.
using OrderAnswerHandler = std::function<void(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head)>;

/// Orders the move and waits at most @p maxTime for its end.
Task<MemoryMove> moveMemory(ConnectionPool &pool, const UpstreamOrders &orders, const std::string &requestId,
                            const UpstreamRecord &source, const UpstreamRecord &target, std::chrono::milliseconds maxTime,
                            const OrderAnswerHandler &onAnswer);

} // namespace Portpaddle
