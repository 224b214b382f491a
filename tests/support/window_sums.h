// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Sums over the sliding windows to which the bounds on limits apply.
#pragma once

#include <chrono>
#include <deque>

namespace Portpaddle {

/// Sums admitted units over sliding windows of 8 s, in steps of 100 ms.
class WindowSums
{
public:
    void add(double units)
    {
        current_ += units;
    }

    void step()
    {
        steps_.push_back(current_);
        sum_ += current_;
        current_ = 0;
        if (steps_.size() > windowSteps) {
            sum_ -= steps_.front();
            steps_.pop_front();
        }
    }

    double sum() const
    {
        return sum_;
    }

private:
    static constexpr std::size_t windowSteps = std::chrono::seconds(8) / std::chrono::milliseconds(100);

    std::deque<double> steps_;
    double current_ = 0;
    double sum_ = 0;
};

} // namespace Portpaddle
