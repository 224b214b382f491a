// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// When one daemon may send the next request to an upstream whose limit it holds a share of.
#pragma once

#include "portpaddle/interfaces/clock.h"

namespace Portpaddle {

/// A token bucket whose rate may change at any time. Belongs to one event loop.
class LimitPace
{
public:
    /// Holds nothing at first: what was sent before, by this process or the one before it, is not known.
    explicit LimitPace(SteadyTime now);

    /// From the last call until @p now tokens came in at the rate that was set; from now on at @p perSecond.
    void setRate(double perSecond, SteadyTime now);
    bool ready() const;
    void take();
    /// How long until one is ready; the longest time there is where none comes.
    SteadyTime::duration wait() const;
    double perSecond() const;

private:
    double perSecond_ = 0;
    double tokens_ = 0;
    SteadyTime filledAt_;
};

} // namespace Portpaddle
