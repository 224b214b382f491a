// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/entry_choice.h"

#include "portpaddle/gateway/gateway.h"

namespace Portpaddle {

namespace {

/// How close a daemon is to the caller; the nearest tier that has any is used.
enum class Tier { DataCentre, Region, Elsewhere };

Tier tierOf(const DaemonRecord &daemon, const CallerPlace &place)
{
    if (daemon.region != place.region) {
        return Tier::Elsewhere;
    }
    return daemon.dataCentre == place.dataCentre ? Tier::DataCentre : Tier::Region;
}

} // namespace

std::vector<std::string> entriesFor(const CallerPlace &place, const Gateway &gateway, SteadyTime now)
{
    std::array<std::vector<std::string>, 3> tiers;
    for (const DaemonRecord &daemon : gateway.view()->daemons) {
        if (gateway.isUsable(daemon, now)) {
            tiers[static_cast<std::size_t>(tierOf(daemon, place))].push_back(daemon.entryAddress);
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
