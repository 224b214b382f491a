// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A clock that only tests advance.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <atomic>

namespace Portpaddle {

/// Starts well after zero, since zero means "never" in several places.
class ManualClock : public Clock
{
public:
    Millis monotonic() const override
    {
        return Millis{ now_.load() };
    }

    Millis wall() const override
    {
        return Millis{ wallBase + now_.load() + wallJump_.load() };
    }

    void advance(Millis by)
    {
        now_ += by.count();
    }

    /// Moves the wall clock without advancing the monotonic clock.
    void jumpWall(Millis by)
    {
        wallJump_ += by.count();
    }

private:
    static constexpr std::int64_t wallBase = 1'800'000'000'000;
    std::atomic<std::int64_t> now_{ 1'000'000 };
    std::atomic<std::int64_t> wallJump_{ 0 };
};

} // namespace Portpaddle
