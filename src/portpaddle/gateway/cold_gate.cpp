// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/cold_gate.h"

#include <cmath>

namespace Portpaddle {

namespace {

// A second as the bound counts it, and some more for requests that were slow on their way.
constexpr std::chrono::milliseconds window{ 1'150 };
// Owners settle before they send, so that two overlap only where one is cut off from news and goes on for as long as it is.
constexpr double ownersAtOnce = 2;

} // namespace

void ColdGate::setOptions(const ColdTerms &terms)
{
    terms_ = terms;
}

double ColdGate::shareOf(double perSecond, bool owner) const
{
    const double bound = perSecond * terms_.overshoot + terms_.slack;
    const double equalShare = std::floor(bound / terms_.daemons);
    if (equalShare >= 1) {
        return equalShare;
    }
    // Daemons that count a few more or less than others must not send by different rules at once.
    const bool manyDaemons = terms_.daemons >= 2 * bound;
    return owner && manyDaemons ? std::floor(bound / ownersAtOnce) : 0;
}

bool ColdGate::allows(const std::string &upstream, double perSecond, bool owner, SteadyTime now)
{
    // A daemon that restarts within a second has spent its share already, and so have all others that lost power with it; before
    // they are on the list each of them would divide by itself alone.
    if (!terms_.listedSince || now < *terms_.listedSince + window) {
        return false;
    }
    const double share = shareOf(perSecond, owner);
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
