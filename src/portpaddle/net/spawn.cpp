// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/spawn.h"

#include "portpaddle/base/log.h"

namespace Portpaddle {

void logTaskFailure(std::string_view name, const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        logEvent(LogEvent::TaskFailed, { { "task", std::string(name) }, { "message", error.what() } });
    }
}

} // namespace Portpaddle
