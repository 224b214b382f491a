// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Bounds how often this daemon presses upstreams that fall over when they have to reject too many requests.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/upstream_limits/limit_reading.h"

#include <string>
#include <unordered_map>

namespace Portpaddle {

struct FleetView;

/// Keeps, for each brittle upstream, this daemon's share of the rejections that it bears in a second, and the number of its own
/// requests that the upstream has had room for. Belongs to one event loop.
class RejectionBudget
{
public:
    /// Sets the number of daemons that send to the same upstreams.
    void setDaemons(unsigned daemons);
    /// Forgets upstreams that are not in @p view.
    void keepOnly(const FleetView &view);
    /// Returns whether one more request may be sent to @p upstream, which runs @p running requests of this daemon.
    bool allows(const std::string &upstream, unsigned running, SteadyTime now);
    /// Counts a request that is sent to @p upstream, which runs @p running requests of this daemon besides.
    void sent(const std::string &upstream, unsigned running, SteadyTime now);
    /// Records an answer of @p upstream: the rejections per second that it bears, if it names any, and whether it had room.
    /// @p running counts the requests of this daemon there, the answered one included.
    void answered(const std::string &upstream, const LimitReading &brittle, bool rejected, unsigned running, SteadyTime now);
    /// Returns the number of upstreams that have said that they are brittle.
    std::size_t size() const;

private:
    struct State
    {
        /// Rejections per second by this daemon.
        double share = 0;
        double credit = 0;
        SteadyTime creditAt{};
        /// Requests of this daemon for which the upstream has had room.
        unsigned room = 0;
    };

    void refill(State &state, SteadyTime now) const;

    unsigned daemons_ = 1;
    std::unordered_map<std::string, State> states_;
};

} // namespace Portpaddle
