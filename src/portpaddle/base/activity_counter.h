// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts work in progress so that a planned stop can wait for it.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace Portpaddle {

/// Thread-safe.
class ActivityCounter
{
public:
    void begin();
    void end();
    std::size_t active() const;
    /// Waits until nothing is in progress.
    void waitUntilIdle();

private:
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t active_ = 0;
};

/// Counts as one piece of work for as long as it lives.
class ActivityGuard
{
public:
    explicit ActivityGuard(ActivityCounter &counter);
    ActivityGuard(const ActivityGuard &) = delete;
    ActivityGuard &operator=(const ActivityGuard &) = delete;
    ~ActivityGuard();

private:
    ActivityCounter &counter_;
};

} // namespace Portpaddle
