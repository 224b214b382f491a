// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders an engine that is about to stop to copy the memory of a run to another engine.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/streams/upstream_orders.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Portpaddle {

/// The outcome of one order.
struct MemoryMove
{
    /// The source from which the run can continue, as "ADDRESS/HANDLE"; no value if the answer names none.
    std::optional<std::string> memorySource;
    /// No copy was made: only the source engine can continue the run.
    bool atSource = false;
    /// The order was sent, or part of it.
    bool sent = false;
    /// Status of the answer; zero if none came, so that the order may have been carried out.
    unsigned status = 0;
    /// A text for the log.
    std::string outcome;
};

/// Called with the head of each answer to an order.
using OrderAnswerHandler = std::function<void(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head)>;

/// Sends @p order, which concerns a run of @p source, and waits at most @p maxTime for its end.
Task<MemoryMove> sendMoveOrder(ConnectionPool &pool, const UpstreamOrders &orders, HttpRequest order,
                               const UpstreamRecord &source, std::chrono::milliseconds maxTime,
                               const OrderAnswerHandler &onAnswer);

} // namespace Portpaddle
