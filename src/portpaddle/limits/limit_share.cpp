// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/limit_share.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

/// Fraction of the limit that is split evenly whatever the demand, so that a daemon with new demand is not starved before the
/// other daemons know of its demand.
constexpr double evenPart = 0.25;
/// Longer than a change of demand takes to reach all daemons, so that a share at most doubles before the others know.
constexpr double doublingMs = 10'000;

} // namespace

double targetShare(const ShareInput &input)
{
    const double even = 1.0 / std::max(1U, input.daemons);
    const double demand = input.ownDemand + input.othersDemand;
    if (demand <= 0) {
        return even;
    }
    return evenPart * even + (1 - evenPart) * input.ownDemand / demand;
}

double ShareController::share() const
{
    return share_;
}

void ShareController::update(const ShareInput &input, Millis now)
{
    const double target = targetShare(input);
    if (share_ == 0) {
        // A new share starts at the even split; the next update reduces it where the demand is at other daemons.
        share_ = 1.0 / std::max(1U, input.daemons);
        updatedAt_ = now;
        return;
    }
    const double elapsed = static_cast<double>((now - updatedAt_).count());
    updatedAt_ = now;
    if (target <= share_) {
        share_ = target;
        return;
    }
    if (!input.partitioned) {
        share_ = std::min(target, share_ * std::exp2(elapsed / doublingMs));
    }
}

} // namespace Portpaddle
