// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Moves one run away from an engine that is about to stop, or because this daemon can no longer forward its stream.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/exchanges/target.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/streams/memory_move.h"
#include "portpaddle/streams/upstream_orders.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// A run whose memory was moved, with the engines at which the run can continue.
struct MovedRun
{
    /// Where the copy is, or the source if there is none.
    Target target;
    UpstreamRecord source;
    /// The source of the memory, as the continuing engine is told.
    std::string memoryFrom;
};

/// How a run is moved.
enum class MoveWay {
    /// The run goes on while its memory is copied, and stops only for what is new since then.
    CopyFirst,
    /// The run stops at once, for a daemon that has no time to wait for a copy.
    StopAtOnce
};

/// Performs at most one move of one run; belongs to the run's exchange.
class RunMove
{
public:
    RunMove(Executor executor, ConnectionPool &pool, OrderAnswerHandler onAnswer);

    /// Whether a move is in progress or has ended; one whose copy failed before the run was stopped can begin again.
    bool begun() const;
    bool inProgress() const;
    /// Returns the engine from which the run is moved.
    const UpstreamRecord &source() const;
    /// Whether the engine was ordered to stop the run.
    bool stopOrdered() const;
    /// Whether an order that was sent may have stopped the run.
    bool mayHaveStopped() const;
    /// Prepares the move of the run of @p requestId from @p source to @p target; run() performs it.
    void begin(std::string requestId, UpstreamRecord source, Target target);
    /// Logs once that no engine can take the run of @p requestId from @p source for @p reason.
    void noteNoTarget(const std::string &requestId, const UpstreamRecord &source, ExclusionReason reason);
    /// Orders the source to move the run's memory, until @p until at the latest. An order without an answer is repeated, since
    /// the engine may have stopped the run.
    Task<void> run(const UpstreamOrders &orders, MoveWay way, SteadyTime until);
    /// Waits for the end of a move that has begun; returns no value if the run cannot continue.
    Task<std::optional<MovedRun>> awaitEnd();
    /// Ends the wait of awaitEnd().
    void cancelWait();
    /// Frees the copy of a run that ended before it was moved.
    Task<void> freeCopy(const UpstreamOrders &orders);

private:
    enum class State { None, Moving, Moved, Failed };

    /// Orders the copy; returns false if none was made, so that the run goes on where it is.
    Task<void> perform(const UpstreamOrders &orders, MoveWay way, SteadyTime until);
    Task<bool> copyMemory(const UpstreamOrders &orders, SteadyTime until);
    Task<MemoryMove> stopRun(const UpstreamOrders &orders, SteadyTime until);
    Task<MemoryMove> send(const UpstreamOrders &orders, HttpRequest order, SteadyTime until);
    void end(State state, const MemoryMove &move);

    ConnectionPool &pool_;
    OrderAnswerHandler onAnswer_;
    SteadyTimer endTimer_;
    SteadyTimer repeatTimer_;
    State state_ = State::None;
    bool stopOrdered_ = false;
    /// Number of orders to stop the run that were sent and not answered; each may have been carried out.
    unsigned unanswered_ = 0;
    bool mayHaveStopped_ = false;
    bool noTargetLogged_ = false;
    std::string requestId_;
    MovedRun moved_;
    /// Handle of the copy at the source; empty if there is none.
    std::string copy_;
};

} // namespace Portpaddle
