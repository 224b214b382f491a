// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// When a daemon tells the others of its region what it knows of an upstream's limit.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Portpaddle {

/// Where a daemon stands for an upstream among those of its region.
struct TellerPlace
{
    std::size_t rank = 0;
    /// All daemons that are to be told, this one included.
    std::size_t members = 1;
};

/// Belongs to one event loop.
class LimitTeller
{
public:
    /// This daemon learned something that the others may not know.
    void changed(std::uint64_t upstream, SteadyTime now);
    /// Another daemon told what this one knows.
    void heardSame(std::uint64_t upstream, SteadyTime now);
    /// Whether to tell now, for the daemon that stands at @p place; call once in each interval of the news, and tell if it says
    /// so.
    bool due(std::uint64_t upstream, const TellerPlace &place, SteadyTime now);
    /// The same for what need not be told again and again.
    bool dueOnce(std::uint64_t upstream);
    void forget(std::uint64_t upstream);

private:
    struct Turn
    {
        /// When any daemon told it, as far as this one heard.
        SteadyTime toldAt{};
        unsigned timesLeft = 0;
    };

    std::unordered_map<std::uint64_t, Turn> turns_;
};

} // namespace Portpaddle
