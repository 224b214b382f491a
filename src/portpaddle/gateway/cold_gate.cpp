// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/cold_gate.h"

#include <cmath>

namespace Portpaddle {

namespace {

// The second over which the bound is counted, plus a margin for requests that were delayed on their way.
constexpr std::chrono::milliseconds window{ 1'150 };
// A new owner waits before it sends, so that two owners overlap only where one of them receives no digests, and for as long as
// that lasts.
constexpr double ownersAtOnce = 2;

} // namespace

void ColdGate::setOptions(const ColdGateOptions &options)
{
    options_ = options;
}

double ColdGate::allowedSends(double perSecond, bool owner) const
{
    const double bound = perSecond * options_.overshoot + options_.slack;
    const double equalShare = std::floor(bound / options_.daemons);
    if (equalShare >= 1) {
        return equalShare;
    }
    // Daemons whose counts differ by a few must not apply different rules at the same time.
    const bool manyDaemons = options_.daemons >= 2 * bound;
    return owner && manyDaemons ? std::floor(bound / ownersAtOnce) : 0;
}

bool ColdGate::allows(const std::string &upstream, double perSecond, bool owner, SteadyTime now)
{
    // A daemon that restarts within a second has spent its share already, and so have all others that lost power with it; before
    // they are listed each of them would divide the bound by itself alone.
    if (!options_.listedSince || now < *options_.listedSince + window) {
        return false;
    }
    const double share = allowedSends(perSecond, owner);
    std::deque<SteadyTime> &times = sends_[upstream];
    while (!times.empty() && times.front() + window < now) {
        times.pop_front();
    }
    return static_cast<double>(times.size()) + 1 <= share;
}

void ColdGate::take(const std::string &upstream, SteadyTime now)
{
    sends_[upstream].push_back(now);
}

void ColdGate::forget(const std::string &upstream)
{
    sends_.erase(upstream);
}

} // namespace Portpaddle
