// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Time that has passed, in whole milliseconds.
#pragma once

#include "portpaddle/net/asio.h"

namespace Portpaddle {

inline std::chrono::milliseconds elapsedSince(SteadyTime from)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - from);
}

} // namespace Portpaddle
