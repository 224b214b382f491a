// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/retry_slice.h"

namespace Portpaddle {

namespace {

void dropBefore(std::deque<SteadyTime> &times, SteadyTime oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

void RetrySlice::setTerms(const RetryBudgetTerms &terms)
{
    terms_ = terms;
}

void RetrySlice::expire(Window &window, SteadyTime now) const
{
    dropBefore(window.firsts, now - terms_.window);
    dropBefore(window.repeats, now - terms_.window);
}

void RetrySlice::firstSent(const std::string &service, SteadyTime now)
{
    Window &window = windows_[service];
    window.firsts.push_back(now);
    expire(window, now);
}

bool RetrySlice::allowsRepeat(const std::string &service, SteadyTime now)
{
    Window &window = windows_[service];
    expire(window, now);
    const double allowed = terms_.ratio * static_cast<double>(window.firsts.size()) + terms_.extraPerWindow / terms_.daemons;
    return static_cast<double>(window.repeats.size()) + 1 <= allowed;
}

bool RetrySlice::takeRepeat(const std::string &service, SteadyTime now)
{
    if (!allowsRepeat(service, now)) {
        return false;
    }
    windows_[service].repeats.push_back(now);
    return true;
}

} // namespace Portpaddle
