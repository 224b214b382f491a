// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/run_move.h"

#include "portpaddle/base/log.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/spawn.h"

#include <fmt/format.h>

#include <algorithm>

namespace Portpaddle {

namespace {

using std::chrono::milliseconds;

// An order that is not answered within this time is sent again.
constexpr milliseconds maxOrderTime{ 1'500 };
constexpr milliseconds repeatDelay{ 20 };
// Orders to stop one run, counting only those that got no answer.
constexpr unsigned maxFailedOrders = 4;

} // namespace

RunMove::RunMove(Executor executor, ConnectionPool &pool, OrderAnswerHandler onAnswer)
    : pool_(pool), onAnswer_(std::move(onAnswer)), endTimer_(executor), repeatTimer_(executor)
{
}

bool RunMove::begun() const
{
    return state_ != State::None;
}

bool RunMove::inProgress() const
{
    return state_ == State::Moving;
}

const UpstreamRecord &RunMove::source() const
{
    return moved_.source;
}

bool RunMove::stopOrdered() const
{
    return stopOrdered_;
}

bool RunMove::mayHaveStopped() const
{
    return mayHaveStopped_;
}

void RunMove::begin(std::string requestId, UpstreamRecord source, Target target)
{
    state_ = State::Moving;
    requestId_ = std::move(requestId);
    moved_.source = std::move(source);
    moved_.target = std::move(target);
}

void RunMove::noteNoTarget(const std::string &requestId, const UpstreamRecord &source, ExclusionReason reason)
{
    if (std::exchange(noTargetLogged_, true)) {
        return;
    }
    logEvent(LogEvent::RunMoveEnded,
             { { "request", requestId },
               { "source", source.id },
               { "target", std::string() },
               { "moved", "false" },
               { "message", fmt::format("no engine can take the run: {}", nameOf(reason)) } });
}

// Whoever waits for the end would otherwise wait as long as the request may take.
Task<void> RunMove::run(const UpstreamOrders &orders, MoveWay way, SteadyTime until)
{
    MemoryMove failed;
    try {
        co_await perform(orders, way, until);
    } catch (...) {
        failed.outcome = "an exception ended the move: " + messageOf(std::current_exception());
    }
    if (!failed.outcome.empty()) {
        end(State::Failed, failed);
    }
}

Task<void> RunMove::perform(const UpstreamOrders &orders, MoveWay way, SteadyTime until)
{
    if (way == MoveWay::CopyFirst) {
        const bool copied = co_await copyMemory(orders, until);
        if (!copied) {
            co_return;
        }
    }
    MemoryMove move = co_await stopRun(orders, until);
    // The engine has the copy's name, whether or not it could answer.
    if (!move.memorySource && !copy_.empty()) {
        move.memorySource = moved_.source.address + "/" + copy_;
    }
    if (move.atSource) {
        moved_.target.upstream = moved_.source;
    }
    end(move.memorySource ? State::Moved : State::Failed, move);
}

Task<bool> RunMove::copyMemory(const UpstreamOrders &orders, SteadyTime until)
{
    const MemoryMove copied = co_await send(orders, orders.copy(requestId_, moved_.target.upstream->address), until);
    if (!copied.memorySource || copied.atSource) {
        end(State::None, copied);
        co_return false;
    }
    copy_ = copied.memorySource->substr(moved_.source.address.size() + 1);
    co_return true;
}

// An engine that denies the run, or finds another order for it under way, has not stopped it for this order. An earlier order
// without an answer may have, and the engine then denies the run as well.
Task<MemoryMove> RunMove::stopRun(const UpstreamOrders &orders, SteadyTime until)
{
    MemoryMove move;
    unsigned failedOrders = 0;
    while (BootClock::now() < until && failedOrders < maxFailedOrders) {
        stopOrdered_ = true;
        move = co_await send(orders, orders.stopAndMove(requestId_, moved_.target.upstream->address), until);
        const bool isUnderWay = move.status == HttpStatus::conflict;
        const bool isAnswered = move.status != 0;
        unanswered_ += move.sent && !isAnswered ? 1 : 0;
        mayHaveStopped_ = mayHaveStopped_ || (move.sent && !isUnderWay && !orders.deniesRun(move.status));
        if (isAnswered && !isUnderWay) {
            break;
        }
        failedOrders += isUnderWay ? 0 : 1;
        NetError ignored;
        repeatTimer_.expires_after(repeatDelay);
        co_await repeatTimer_.async_wait(awaitingInto(ignored));
    }
    co_return move;
}

Task<MemoryMove> RunMove::send(const UpstreamOrders &orders, HttpRequest order, SteadyTime until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - BootClock::now());
    const auto maxTime = std::clamp(left, milliseconds(1), maxOrderTime);
    co_return co_await sendMoveOrder(pool_, orders, std::move(order), moved_.source, maxTime, onAnswer_);
}

void RunMove::end(State state, const MemoryMove &move)
{
    logEvent(LogEvent::RunMoveEnded,
             { { "request", requestId_ },
               { "source", moved_.source.id },
               { "target", moved_.target.upstream->id },
               { "moved", move.memorySource ? "true" : "false" },
               { "stop_ordered", stopOrdered_ ? "true" : "false" },
               { "orders_unanswered", std::to_string(unanswered_) },
               { "status", std::to_string(move.status) },
               { "message", move.outcome } });
    moved_.memoryFrom = move.memorySource.value_or(std::string());
    state_ = state;
    endTimer_.cancel();
}

Task<std::optional<MovedRun>> RunMove::awaitEnd()
{
    if (state_ == State::Moving) {
        NetError ignored;
        endTimer_.expires_at(SteadyTime::max());
        co_await endTimer_.async_wait(awaitingInto(ignored));
    }
    if (state_ != State::Moved) {
        co_return std::nullopt;
    }
    co_return moved_;
}

void RunMove::cancelWait()
{
    endTimer_.cancel();
}

Task<void> RunMove::freeCopy(const UpstreamOrders &orders)
{
    co_await awaitEnd();
    if (copy_.empty()) {
        co_return;
    }
    co_await send(orders, orders.freeCopy(copy_), BootClock::now() + maxOrderTime);
}

} // namespace Portpaddle
