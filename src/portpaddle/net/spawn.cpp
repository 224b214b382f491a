// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/spawn.h"

#include "portpaddle/base/log.h"

namespace Portpaddle {

std::string messageOf(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

void logTaskFailure(std::string_view name, const std::exception_ptr &exception) noexcept
{
    try {
        logEvent(LogEvent::TaskFailed, { { "task", std::string(name) }, { "message", messageOf(exception) } });
    } catch (const std::exception &) {
        // There is no memory for a line either; the process goes on without it.
    }
}

void runLoop(boost::asio::io_context &loop)
{
    bool ended = false;
    while (!ended) {
        try {
            loop.run();
            ended = true;
        } catch (...) {
            logTaskFailure("event_loop", std::current_exception());
        }
    }
}

} // namespace Portpaddle
