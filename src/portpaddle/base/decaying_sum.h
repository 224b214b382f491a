// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A sum whose parts lose weight exponentially with their age.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <chrono>
#include <cmath>

namespace Portpaddle {

/// Amounts added at a constant rate give a sum of that rate times the decay time.
class DecayingSum
{
public:
    /// A part has the weight 1/e after @p decayTime.
    explicit DecayingSum(std::chrono::duration<double> decayTime) : decayTime_(decayTime)
    {
    }

    void add(double amount, SteadyTime now)
    {
        sum_ = at(now) + amount;
        updatedAt_ = now;
    }

    double at(SteadyTime now) const
    {
        return sum_ * std::exp(-std::chrono::duration<double>(now - updatedAt_) / decayTime_);
    }

private:
    std::chrono::duration<double> decayTime_;
    double sum_ = 0;
    SteadyTime updatedAt_{};
};

} // namespace Portpaddle
