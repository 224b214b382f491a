// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/cold_gate.h"

#include <cmath>

namespace Portpaddle {

namespace {

// Window of 1 s over which the bound is counted, plus 150 ms for requests delayed on their way.
constexpr std::chrono::milliseconds window{ 1'150 };
// Number of owners that may send at once. A new owner waits before it sends, so two owners overlap only while one of them
// receives no digests.
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
    // Daemons that disagree by a few on the number of daemons must not apply different rules, so an owner is used only from twice
    // the bound on.
    const bool manyDaemons = options_.daemons >= 2 * bound;
    return owner && manyDaemons ? std::floor(bound / ownersAtOnce) : 0;
}

bool ColdGate::allows(const std::string &upstream, double perSecond, bool owner, SteadyTime now)
{
    // Daemons that restart within a second may have spent their shares already, and so may all that lost power with them. Until
    // all are listed, each would count itself as the only daemon and take the whole bound.
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
