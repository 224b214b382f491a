// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Selects the daemons that a caller should use.
#pragma once

#include "portpaddle/net/asio.h"

#include <string>
#include <vector>

namespace Portpaddle {

class Gateway;

/// The location of a caller.
struct CallerPlace
{
    std::string region;
    std::string dataCentre;
};

/// Maximum number of addresses in one answer.
inline constexpr std::size_t maxEntries = 64;

/// Returns entry addresses for a caller: of daemons in its own data centre if there are any, else in its region, else of all.
std::vector<std::string> entriesFor(const CallerPlace &place, const Gateway &gateway, SteadyTime now);

} // namespace Portpaddle
