// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Moves the memory of a run from an engine that is about to end to another one.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_orders.h"

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

/// Orders the move and waits for its end, at most @p longest.
Task<MemoryMove> moveMemory(ConnectionPool &pool, const UpstreamOrders &orders, const std::string &requestId,
                            const UpstreamRecord &source, const UpstreamRecord &target, std::chrono::milliseconds longest);

} // namespace Portpaddle
