// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/slices.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

/// Part of the limit that is split evenly whatever the demand, so that nobody starves before others heard of it.
constexpr double evenPart = 0.25;
/// Longer than a change of demand takes to reach everyone, so that at most one doubling happens unseen.
constexpr double doublingMs = 10'000;

} // namespace

double targetShare(const SliceInput &input)
{
    const double even = 1.0 / std::max(1U, input.daemons);
    const double demand = input.ownDemand + input.othersDemand;
    if (demand <= 0) {
        return even;
    }
    return evenPart * even + (1 - evenPart) * input.ownDemand / demand;
}

double ShareMover::share() const
{
    return share_;
}

void ShareMover::update(const SliceInput &input, Millis now)
{
    const double target = targetShare(input);
    if (share_ == 0) {
        // A newcomer starts with the even split; what demand has moved elsewhere is taken off at the next update.
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
