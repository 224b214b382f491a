// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The move of one run away from an engine that is about to end, or whose stream this daemon can carry no longer.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/memory_move.h"
#include "portpaddle/gateway/target.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_orders.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// A run whose memory is at another engine now.
struct MovedRun
{
    Target target;
    std::string memoryFrom;
};

/// At most one move of one run; belongs to its exchange.
class RunMove
{
public:
    RunMove(Executor executor, ConnectionPool &pool, HearOrderAnswer hear);

    bool begun() const;
    /// The run of @p requestId is to go from @p source to @p target; run() follows.
    void begin(std::string requestId, UpstreamRecord source, Target target);
    /// Orders the source to stop the run and to move its memory, within @p longest at most.
    Task<void> run(const UpstreamOrders &orders, std::chrono::milliseconds longest);
    /// Waits for the end of a move that has begun; no value where the run cannot go on.
    Task<std::optional<MovedRun>> ended();

private:
    enum class State { None, Moving, Moved, Failed };

    ConnectionPool &pool_;
    HearOrderAnswer hear_;
    SteadyTimer ended_;
    State state_ = State::None;
    std::string requestId_;
    UpstreamRecord source_;
    MovedRun moved_;
};

} // namespace Portpaddle
