// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/entry_choice.h"

#include "portpaddle/gateway/gateway.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// How well a daemon suits the caller; the best tier that is not empty is used. A stopping daemon of the caller's region still
/// precedes other regions: during a rolling restart of a small region it is the only one left for a moment.
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

/// Limits @p daemons to the number that an answer names. Callers of each data centre get a different subset, and the same one
/// each time: callers keep only connections to daemons that are named again.
std::vector<std::string> someEntries(std::vector<const DaemonRecord *> daemons, const CallerPlace &place)
{
    if (daemons.size() > maxEntries) {
        const std::uint64_t key = stableHash(place.dataCentre);
        const auto draw = [key](const DaemonRecord *daemon) { return rendezvousScore(key, stableHash(daemon->id), 1); };
        std::sort(daemons.begin(), daemons.end(),
                  [&draw](const DaemonRecord *a, const DaemonRecord *b) { return draw(a) > draw(b); });
        daemons.resize(maxEntries);
    }
    std::vector<std::string> addresses;
    addresses.reserve(daemons.size());
    for (const DaemonRecord *daemon : daemons) {
        addresses.push_back(daemon->entryAddress);
    }
    return addresses;
}

} // namespace

std::vector<std::string> entriesFor(const CallerPlace &place, const Gateway &gateway, SteadyTime now)
{
    std::array<std::vector<const DaemonRecord *>, static_cast<std::size_t>(Tier::None)> tiers;
    const std::shared_ptr<const FleetView> view = gateway.view();
    for (const DaemonRecord &daemon : view->daemons) {
        const Tier tier = tierOf(daemon, gateway.phaseOf(daemon, now), place);
        if (tier != Tier::None) {
            tiers[static_cast<std::size_t>(tier)].push_back(&daemon);
        }
    }
    for (std::vector<const DaemonRecord *> &tier : tiers) {
        if (!tier.empty()) {
            return someEntries(std::move(tier), place);
        }
    }
    return {};
}

} // namespace Portpaddle
