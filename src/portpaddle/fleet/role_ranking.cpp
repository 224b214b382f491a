// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/role_ranking.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Assumed for a daemon that did not state how many cores it may use.
constexpr double unknownCpuCores = 0.1;

struct Ranked
{
    double score = 0;
    const DaemonRecord *daemon = nullptr;
};

/// Returns the cube of the cores, so that a few VMs with half a core rank before a hundred with an eighth of a core. The latter
/// would spend a tenth of their processor time on this work.
double weightOf(const DaemonRecord &daemon)
{
    const double cores = daemon.cpuCores > 0 ? daemon.cpuCores : unknownCpuCores;
    return cores * cores * cores;
}

} // namespace

bool usesAggregators(const FleetView &view)
{
    return view.daemons.size() > maxDirectFleetSize;
}

// Weighted rendezvous hashing as in the straw2 buckets of CRUSH: a daemon that joins or leaves changes only the roles that it
// gains or loses itself.
std::vector<const DaemonRecord *> rankForRole(const FleetView &view, std::string_view region, std::string_view role)
{
    const std::uint64_t key = stableHash(role);
    std::vector<Ranked> ranked;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.region == region && !daemon.leaving) {
            ranked.push_back({ rendezvousScore(key, stableHash(daemon.id), weightOf(daemon)), &daemon });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return a.score > b.score; });
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
