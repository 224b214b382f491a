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

/// Orders the move and waits for its end, at most @p longest. Gives where the copy can be continued from; no value if it failed.
Task<std::optional<std::string>> moveMemory(ConnectionPool &pool, const UpstreamOrders &orders, const std::string &requestId,
                                            const UpstreamRecord &source, const UpstreamRecord &target,
                                            std::chrono::milliseconds longest);

} // namespace Portpaddle
