// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/run_move.h"

#include "portpaddle/base/log.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

// A move that takes longer has met a queue of others, or an engine that is gone.
constexpr std::chrono::milliseconds longestMove{ 1'500 };

} // namespace

RunMove::RunMove(Executor executor, ConnectionPool &pool, HearOrderAnswer hear)
    : pool_(pool), hear_(std::move(hear)), ended_(executor)
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

Task<void> RunMove::run(const UpstreamOrders &orders, std::chrono::milliseconds longest)
{
    const Target &target = moved_.target;
    const bool placed = target.placement.verdict == Verdict::Serve;
    MemoryMove move;
    if (placed) {
        const auto bound = std::min(longestMove, longest);
        move = co_await moveMemory(pool_, orders, requestId_, source_, *target.upstream, bound, hear_);
    } else {
        move.outcome = fmt::format("no other engine: {}", nameOf(target.placement.reason));
    }
    logEvent(LogEvent::RunMoveEnded,
             { { "request", requestId_ },
               { "source", source_.id },
               { "target", placed ? target.upstream->id : std::string() },
               { "moved", move.from ? "true" : "false" },
               { "message", move.outcome } });
    if (move.atSource) {
        moved_.target.upstream = source_;
    }
    state_ = move.from ? State::Moved : State::Failed;
    moved_.memoryFrom = move.from.value_or(std::string());
    ended_.cancel();
}

Task<std::optional<MovedRun>> RunMove::ended()
{
    if (state_ == State::Moving) {
        NetError ignored;
        ended_.expires_after(longestMove);
        co_await ended_.async_wait(awaitingInto(ignored));
    }
    if (state_ != State::Moved) {
        co_return std::nullopt;
    }
    co_return moved_;
}

} // namespace Portpaddle
