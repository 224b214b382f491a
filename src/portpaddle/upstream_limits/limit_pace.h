// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Paces the requests of one daemon to an upstream according to the daemon's share of the upstream's limit.
#pragma once

#include "portpaddle/interfaces/clock.h"

namespace Portpaddle {

/// A token bucket whose rate may change at any time. Belongs to one event loop.
class LimitPace
{
public:
    /// Starts without tokens, since it is not known what this process or its predecessor sent before.
    explicit LimitPace(SteadyTime now);

    /// Adds the tokens since the last call at the previous rate, and sets the rate from @p now on to @p perSecond.
    void setRate(double perSecond, SteadyTime now);
    /// Returns whether there is a token for one request.
    bool ready() const;
    /// Takes the token of one request.
    void take();
    /// Returns the time until a token is ready; the maximum duration if the rate is 0.
    SteadyTime::duration wait() const;
    /// Returns the present rate in requests a second.
    double perSecond() const;

private:
    double perSecond_ = 0;
    double tokens_ = 0;
    SteadyTime filledAt_;
};

} // namespace Portpaddle
