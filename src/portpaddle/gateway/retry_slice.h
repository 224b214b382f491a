// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The share of a system-wide retry budget that one daemon may spend without asking anyone.
#pragma once

#include "portpaddle/net/asio.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// The budget of the whole system for each service.
struct RetryBudgetTerms
{
    /// Repeats allowed per first send.
    double ratio = 0.1;
    /// Repeats allowed besides, over all daemons, in one window.
    double extraPerWindow = 0;
    std::chrono::milliseconds window{ 10'000 };
    /// Daemons that may be spending at the same time.
    unsigned daemons = 1;
};

/// Counts first sends and repeats of each service in a sliding window. Belongs to one event loop.
class RetrySlice
{
public:
    void setTerms(const RetryBudgetTerms &terms);
    void firstSent(const std::string &service, SteadyTime now);
    /// Whether a repeat would be allowed now.
    bool allowsRepeat(const std::string &service, SteadyTime now);
    /// Takes one repeat if the slice has one left.
    bool takeRepeat(const std::string &service, SteadyTime now);

private:
    struct Window
    {
        std::deque<SteadyTime> firsts;
        std::deque<SteadyTime> repeats;
    };

    void expire(Window &window, SteadyTime now) const;

    RetryBudgetTerms terms_;
    std::unordered_map<std::string, Window> windows_;
};

} // namespace Portpaddle
