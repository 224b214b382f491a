// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/peer_turns.h"

namespace Portpaddle {

PeerTurns::PeerTurns(std::uint64_t key) : turn_(key)
{
}

std::size_t PeerTurns::next(std::size_t count)
{
    return static_cast<std::size_t>(turn_++ % count);
}

} // namespace Portpaddle
