// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/round_robin_cursor.h"

namespace Portpaddle {

RoundRobinCursor::RoundRobinCursor(std::uint64_t key) : position_(key)
{
}

std::size_t RoundRobinCursor::next(std::size_t count)
{
    return static_cast<std::size_t>(position_++ % count);
}

} // namespace Portpaddle
