// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/cold_gate.h"

#include <cmath>

namespace Portpaddle {

namespace {

// A second as the bound counts it, and some more for requests that were slow on their way.
constexpr std::chrono::milliseconds window{ 1'150 };

} // namespace

ColdGate::ColdGate(SteadyTime startedAt) : startedAt_(startedAt)
{
}

void ColdGate::setTerms(const ColdTerms &terms)
{
    terms_ = terms;
}

bool ColdGate::allows(const std::string &upstream, double perSecond, SteadyTime now)
{
    // A daemon that restarts within a second has spent its share already, and so have all others that lost power with it.
    if (now < startedAt_ + window) {
        return false;
    }
    const double share = std::floor((perSecond * terms_.overshoot + terms_.slack) / terms_.daemons);
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
