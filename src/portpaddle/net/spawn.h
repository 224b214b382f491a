// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Starts coroutines that are not awaited, and keeps exceptions within the step that they leave.
#pragma once

#include "portpaddle/net/asio.h"

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace Portpaddle {

/// Returns what @p exception says about itself.
std::string messageOf(const std::exception_ptr &exception);

/// Logs that the coroutine or handler called @p name ended with an exception.
void logTaskFailure(std::string_view name, const std::exception_ptr &exception) noexcept;

/// Runs @p step, a part of a handler, and logs an exception that leaves it, so that what follows it is done.
template<typename Step>
void runGuarded(std::string_view name, Step step) noexcept
{
    try {
        step();
    } catch (...) {
        logTaskFailure(name, std::current_exception());
    }
}

/// Runs @p loop until it is stopped or has no work. An exception that leaves a handler is logged, and the loop goes on.
void runLoop(boost::asio::io_context &loop);

/// Starts the coroutine that @p makeTask returns and logs an exception that leaves the coroutine. @p name must be a literal, as
/// only a view of the name is kept.
template<typename MakeTask>
void spawnTask(Executor executor, std::string_view name, MakeTask makeTask)
{
    boost::asio::co_spawn(executor, std::move(makeTask), [name](const std::exception_ptr &exception) {
        if (exception) {
            logTaskFailure(name, exception);
        }
    });
}

} // namespace Portpaddle
