// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/entry_choice.h"

#include "portpaddle/gateway/gateway.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// How well a daemon suits the caller; the best tier that is not empty is used. A stopping daemon of the caller's region still
/// precedes other regions: during a rolling restart of a small region it is the only one left for a moment.
enum class Tier { DataCentre, Region, StoppingInRegion, Elsewhere, None };

// Where fewer daemons of a region than one in this number reach the upstreams, the callers of all would overrun them.
constexpr std::size_t minReachingDivisor = 3;

/// Returns whether callers of @p region are to be sent to the daemons that reach the upstreams only.
bool avoidsCutOff(const FleetView &view, const std::string &region, const Gateway &gateway, SteadyTime now)
{
    std::size_t serving = 0;
    std::size_t reaching = 0;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == region && gateway.phaseOf(daemon, now) == Wire::DaemonPhase::Serving) {
            ++serving;
            reaching += gateway.reachesUpstreams(daemon) ? 1 : 0;
        }
    }
    return reaching > 0 && reaching < serving && reaching * minReachingDivisor >= serving;
}

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
    const bool onlyReaching = avoidsCutOff(*view, place.region, gateway, now);
    for (const DaemonRecord &daemon : view->daemons) {
        const Tier tier = tierOf(daemon, gateway.phaseOf(daemon, now), place);
        const bool isAvoided = onlyReaching && tier != Tier::StoppingInRegion && daemon.region == place.region
            && !gateway.reachesUpstreams(daemon);
        if (tier != Tier::None && !isAvoided) {
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
