// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Elapsed time in whole milliseconds.
#pragma once

#include "portpaddle/net/asio.h"

namespace Portpaddle {

/// Returns the time since @p from, rounded down to whole milliseconds.
inline std::chrono::milliseconds elapsedSince(SteadyTime from)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - from);
}

} // namespace Portpaddle
