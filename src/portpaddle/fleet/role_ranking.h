// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Ranking of the daemons that work on behalf of their region. Every daemon computes the same ranking from the list of daemons,
/// so that no election is needed.
#pragma once

#include "portpaddle/store_following/fleet_view.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// In larger fleets, a few daemons of each region aggregate load digests and relay the store's changes. In smaller ones, every
/// daemon sends digests to all others and follows the store itself.
inline constexpr std::size_t maxDirectFleetSize = 24;

/// Whether the fleet of @p view is so large that a few daemons aggregate and relay for their region.
bool usesAggregators(const FleetView &view);

/// Returns the daemons of @p region that are not leaving, ranked for @p role with the first choice first.
std::vector<const DaemonRecord *> rankForRole(const FleetView &view, std::string_view region, std::string_view role);

/// Returns the key that identifies a daemon in digests.
std::uint32_t memberKey(std::string_view daemon);

} // namespace Portpaddle
