// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Coroutines that nobody awaits.
#pragma once

#include "portpaddle/net/asio.h"

#include <exception>
#include <string_view>

namespace Portpaddle {

/// Logs that the coroutine called @p name ended with an exception.
void logTaskFailure(std::string_view name, const std::exception_ptr &exception);

/// Runs the coroutine that @p makeTask gives; an exception that leaves it is logged under @p name, a literal.
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
