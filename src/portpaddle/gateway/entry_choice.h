// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemons a caller should use.
#pragma once

#include "portpaddle/net/asio.h"

#include <string>
#include <vector>

namespace Portpaddle {

class Gateway;

/// Where a caller is.
struct CallerPlace
{
    std::string region;
    std::string dataCentre;
};

/// Most addresses that one answer names.
inline constexpr std::size_t maxEntries = 64;

/// Entry addresses for a caller, of its own data centre if any daemon lives there, else of its region, else of all.
std::vector<std::string> entriesFor(const CallerPlace &place, const Gateway &gateway, SteadyTime now);

} // namespace Portpaddle
