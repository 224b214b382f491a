// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_pace.h"

#include <algorithm>
#include <chrono>

namespace Portpaddle {

namespace {

// Above 1, so that a request that is sent a little late does not delay the next one; below 2, since two requests at once would
// let the bursts of many daemons add up.
constexpr double maxTokens = 1.5;

} // namespace

LimitPace::LimitPace(SteadyTime now) : filledAt_(now)
{
}

void LimitPace::setRate(double perSecond, SteadyTime now)
{
    tokens_ = std::min(maxTokens, tokens_ + perSecond_ * inSeconds(now - filledAt_));
    filledAt_ = now;
    perSecond_ = perSecond;
    // A daemon that loses its share starts without tokens when it gets one again: other daemons spent the rate meanwhile.
    tokens_ = perSecond > 0 ? tokens_ : 0;
}

bool LimitPace::ready() const
{
    return tokens_ >= 1;
}

void LimitPace::take()
{
    tokens_ -= 1;
}

SteadyTime::duration LimitPace::wait() const
{
    if (ready()) {
        return SteadyTime::duration::zero();
    }
    if (perSecond_ <= 0) {
        return SteadyTime::duration::max();
    }
    return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>((1 - tokens_) / perSecond_));
}

double LimitPace::perSecond() const
{
    return perSecond_;
}

} // namespace Portpaddle
