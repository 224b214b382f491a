// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/role_ranking.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// A VM that tells nothing of its strength.
constexpr double unknownStrength = 0.1;

struct Ranked
{
    double draw = 0;
    const DaemonRecord *daemon = nullptr;
};

/// The cube lets a few VMs of half a core go before a hundred of an eighth of one, which would spend a tenth of it on this work.
double weightOf(const DaemonRecord &daemon)
{
    const double strength = daemon.cpuCores > 0 ? daemon.cpuCores : unknownStrength;
    return strength * strength * strength;
}

} // namespace

bool usesAggregators(const FleetView &view)
{
    return view.daemons.size() > largestDirectFleet;
}

// Weighted rendezvous hashing, the straw2 buckets of CRUSH: a daemon that comes or goes changes only what it gains or loses
// itself.
std::vector<const DaemonRecord *> rankForRole(const FleetView &view, std::string_view region, std::string_view role)
{
    const std::uint64_t key = stableHash(role);
    std::vector<Ranked> ranked;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == region && !daemon.leaving) {
            ranked.push_back({ rendezvousScore(key, stableHash(daemon.id), weightOf(daemon)), &daemon });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return a.draw > b.draw; });
    std::vector<const DaemonRecord *> result;
    result.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        result.push_back(entry.daemon);
    }
    return result;
}

std::uint32_t memberKey(std::string_view daemon)
{
    return static_cast<std::uint32_t>(stableHash(daemon));
}

} // namespace Portpaddle
