// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The state changes before the first byte is written, so that a call made meanwhile, as from a timer, finds the new state.
// GCC 12 evaluates a co_await in an operand of ?: of a co_return whatever the condition, hence the early returns.

#include "portpaddle/callers/caller_writer.h"

#include "portpaddle/base/log.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace Portpaddle {

namespace {

constexpr std::array<std::string_view, 3> stateNames{ "none", "begun", "ended" };

} // namespace

std::string_view nameOf(AnswerState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

CallerWriter::CallerWriter(CallerConnection &connection) : connection_(connection)
{
}

AnswerState CallerWriter::state() const
{
    return state_;
}

Task<bool> CallerWriter::askForBody()
{
    if (!advance(AnswerState::None, AnswerState::None, "continue")) {
        co_return false;
    }
    co_return co_await connection_.sendContinue();
}

Task<bool> CallerWriter::whole(WholeAnswer answer)
{
    if (!advance(AnswerState::None, AnswerState::Ended, "whole")) {
        co_return false;
    }
    co_return co_await connection_.sendWhole(std::move(answer));
}

Task<bool> CallerWriter::begin(unsigned status, boost::beast::http::fields fields)
{
    if (!advance(AnswerState::None, AnswerState::Begun, "begin")) {
        co_return false;
    }
    co_return co_await connection_.sendHead(status, std::move(fields));
}

Task<bool> CallerWriter::writeChunk(std::string_view bytes)
{
    if (!advance(AnswerState::Begun, AnswerState::Begun, "chunk")) {
        co_return false;
    }
    co_return co_await connection_.sendChunk(bytes);
}

Task<bool> CallerWriter::end()
{
    if (!advance(AnswerState::Begun, AnswerState::Ended, "end")) {
        co_return false;
    }
    co_return co_await connection_.sendEnd();
}

Task<bool> CallerWriter::endWithTrailer(const char *name, const std::string &value)
{
    if (!advance(AnswerState::Begun, AnswerState::Ended, "trailer")) {
        co_return false;
    }
    co_return co_await connection_.sendEndWithTrailer(name, value);
}

void CallerWriter::abort()
{
    state_ = AnswerState::Ended;
    connection_.abandon();
}

bool CallerWriter::advance(AnswerState expected, AnswerState next, std::string_view call)
{
    if (state_ == expected) {
        state_ = next;
        return true;
    }
    logEvent(LogEvent::RequestFailed,
             { { "request", connection_.requestId() },
               { "message", fmt::format("{} in an answer that is {}: its connection is closed", call, nameOf(state_)) } });
    abort();
    return false;
}

} // namespace Portpaddle
