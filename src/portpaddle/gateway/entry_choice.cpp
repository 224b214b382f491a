// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/entry_choice.h"

#include "portpaddle/gateway/gateway.h"

namespace Portpaddle {

namespace {

/// How well a daemon suits the caller; the best tier that has any is used. A stopping daemon of the caller's region still goes
/// before other regions: during a rolling restart of a small region it is the only one left for a moment.
enum class Tier { DataCentre, Region, StoppingInRegion, Elsewhere, None };

Tier tierOf(const DaemonRecord &daemon, Wire::DaemonPhase phase, const CallerPlace &place)
{
    const bool near = daemon.region == place.region;
    if (phase == Wire::DaemonPhase::Stopping && near) {
        return Tier::StoppingInRegion;
    }
    if (phase != Wire::DaemonPhase::Serving) {
        return Tier::None;
    }
    if (!near) {
        return Tier::Elsewhere;
    }
    return daemon.dataCentre == place.dataCentre ? Tier::DataCentre : Tier::Region;
}

} // namespace

std::vector<std::string> entriesFor(const CallerPlace &place, const Gateway &gateway, SteadyTime now)
{
    std::array<std::vector<std::string>, static_cast<std::size_t>(Tier::None)> tiers;
    for (const DaemonRecord &daemon : gateway.view()->daemons) {
        const Tier tier = tierOf(daemon, gateway.phaseOf(daemon, now), place);
        if (tier != Tier::None) {
            tiers[static_cast<std::size_t>(tier)].push_back(daemon.entryAddress);
        }
    }
    for (std::vector<std::string> &tier : tiers) {
        if (!tier.empty()) {
            tier.resize(std::min(tier.size(), mostEntries));
            return std::move(tier);
        }
    }
    return {};
}

} // namespace Portpaddle
