// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemons do work for all of their region. Every daemon ranks them alike from the list of daemons, so that nobody is
/// elected.
#pragma once

#include "portpaddle/gateway/fleet_view.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// In larger fleets news and the store's changes come by way of a few daemons of each region; in smaller ones each daemon tells
/// all others and follows the store by itself.
inline constexpr std::size_t largestDirectFleet = 24;

/// Whether @p view is of a fleet in which few daemons work for all.
bool usesAggregators(const FleetView &view);

/// The daemons of @p region that do not leave, the first choice for @p role first.
std::vector<const DaemonRecord *> rankForRole(const FleetView &view, std::string_view region, std::string_view role);

/// The key under which news name a daemon.
std::uint32_t memberKey(std::string_view daemon);

} // namespace Portpaddle
