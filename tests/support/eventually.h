// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Waits for a condition that must become true. The bound only turns a hang into a failure; no result depends on speed.
#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace Portpaddle {

inline bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds hangBound{ 20 };
    constexpr std::chrono::milliseconds pause{ 5 };
    const auto end = std::chrono::steady_clock::now() + hangBound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace Portpaddle
