// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Moves one run away from an engine that is about to stop, or because this daemon can no longer forward its stream.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/memory_move.h"
#include "portpaddle/gateway/target.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_orders.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// A run whose memory was moved, with the engine at which the run continues.
struct MovedRun
{
    Target target;
    /// The source of the memory, as the continuing engine is told.
    std::string memoryFrom;
};

/// Performs at most one move of one run; belongs to the run's exchange.
class RunMove
{
public:
    RunMove(Executor executor, ConnectionPool &pool, OrderAnswerHandler onAnswer);

    bool begun() const;
    /// Prepares the move of the run of @p requestId from @p source to @p target; run() performs it.
    void begin(std::string requestId, UpstreamRecord source, Target target);
    /// Orders the source to stop the run and to move its memory, which takes at most @p maxTime.
    Task<void> run(const UpstreamOrders &orders, std::chrono::milliseconds maxTime);
    /// Waits for the end of a move that has begun; returns no value if the run cannot continue.
    Task<std::optional<MovedRun>> awaitEnd();

private:
    enum class State { None, Moving, Moved, Failed };

    ConnectionPool &pool_;
    OrderAnswerHandler onAnswer_;
    SteadyTimer endTimer_;
    State state_ = State::None;
    std::string requestId_;
    UpstreamRecord source_;
    MovedRun moved_;
};

} // namespace Portpaddle
