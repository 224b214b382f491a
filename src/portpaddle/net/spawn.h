// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Starts coroutines that are not awaited.
#pragma once

#include "portpaddle/net/asio.h"

#include <exception>
#include <string_view>

namespace Portpaddle {

/// Logs that the coroutine called @p name ended with an exception.
void logTaskFailure(std::string_view name, const std::exception_ptr &exception);

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
