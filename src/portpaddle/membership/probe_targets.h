// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Whom a member of the gossip probes or tells next.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

class MemberList;
class RandomSource;

/// Chooses among the members of a list that outlives it; no value where there is nobody to choose.
class ProbeTargets
{
public:
    ProbeTargets(const MemberList &members, RandomSource &random);

    /// Each member of the own data centre once in a round, in a fresh random order each time.
    std::optional<std::string> nextLocal();
    /// A member of a random other data centre.
    std::optional<std::string> randomRemote();
    /// A member that is believed dead.
    std::optional<std::string> randomDead();
    std::optional<std::string> pick(const std::vector<std::string> &ids);

private:
    const MemberList &members_;
    RandomSource &random_;
    std::deque<std::string> order_;
};

} // namespace Portpaddle
