// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts operations in progress, so that a planned stop can wait for them.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace Portpaddle {

/// Counts operations in progress. Thread-safe.
class ActivityCounter
{
public:
    void begin();
    void end();
    std::size_t active() const;
    /// Waits until no operation is in progress.
    void waitUntilIdle();

private:
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t active_ = 0;
};

/// Counts one operation as in progress for the lifetime of the guard.
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
