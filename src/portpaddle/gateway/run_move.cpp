// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/run_move.h"

#include "portpaddle/base/log.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

// A move is given up after this time: it then waits behind other moves, or its engine is gone.
constexpr std::chrono::milliseconds maxMoveTime{ 1'500 };

} // namespace

RunMove::RunMove(Executor executor, ConnectionPool &pool, OrderAnswerHandler onAnswer)
    : pool_(pool), onAnswer_(std::move(onAnswer)), endTimer_(executor)
{
}

bool RunMove::begun() const
{
    return state_ != State::None;
}

void RunMove::begin(std::string requestId, UpstreamRecord source, Target target)
{
    state_ = State::Moving;
    requestId_ = std::move(requestId);
    source_ = std::move(source);
    moved_.target = std::move(target);
}

Task<void> RunMove::run(const UpstreamOrders &orders, std::chrono::milliseconds maxTime)
{
    const Target &target = moved_.target;
    const bool placed = target.placement.verdict == Verdict::Serve;
    MemoryMove move;
    if (placed) {
        const auto bound = std::min(maxMoveTime, maxTime);
        move = co_await moveMemory(pool_, orders, requestId_, source_, *target.upstream, bound, onAnswer_);
    } else {
        move.outcome = fmt::format("no engine can take the run: {}", nameOf(target.placement.reason));
    }
    logEvent(LogEvent::RunMoveEnded,
             { { "request", requestId_ },
               { "source", source_.id },
               { "target", placed ? target.upstream->id : std::string() },
               { "moved", move.memorySource ? "true" : "false" },
               { "message", move.outcome } });
    if (move.atSource) {
        moved_.target.upstream = source_;
    }
    state_ = move.memorySource ? State::Moved : State::Failed;
    moved_.memoryFrom = move.memorySource.value_or(std::string());
    endTimer_.cancel();
}

Task<std::optional<MovedRun>> RunMove::awaitEnd()
{
    if (state_ == State::Moving) {
        NetError ignored;
        endTimer_.expires_after(maxMoveTime);
        co_await endTimer_.async_wait(awaitingInto(ignored));
    }
    if (state_ != State::Moved) {
        co_return std::nullopt;
    }
    co_return moved_;
}

} // namespace Portpaddle
