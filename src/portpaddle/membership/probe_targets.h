// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Selects the members that are probed or sent a push next.
#pragma once

#include "portpaddle/base/socket_address.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

class MemberList;
class RandomSource;

/// Chooses among the members of a list, which must outlive it. Each method returns no value if there is no candidate.
class ProbeTargets
{
public:
    ProbeTargets(const MemberList &members, RandomSource &random);

    /// Returns each member of the local data centre once per round; every round has a new random order.
    std::optional<std::string> nextLocal();
    /// Returns a member of a random other data centre.
    std::optional<std::string> randomRemote();
    /// Returns a random member that is believed dead.
    std::optional<std::string> randomDead();
    /// Returns, in turn, one of @p seeds at whose address no active member is known.
    std::optional<SocketAddress> unknownSeed(const std::vector<SocketAddress> &seeds);
    /// Returns one of @p ids.
    std::optional<std::string> pickRandom(const std::vector<std::string> &ids);

private:
    const MemberList &members_;
    RandomSource &random_;
    std::deque<std::string> probeOrder_;
    std::size_t nextSeed_ = 0;
};

} // namespace Portpaddle
