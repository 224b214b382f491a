// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/activity_counter.h"

namespace Portpaddle {

void ActivityCounter::begin()
{
    const std::lock_guard lock(mutex_);
    ++active_;
}

void ActivityCounter::end()
{
    const std::lock_guard lock(mutex_);
    if (--active_ == 0) {
        // Notifies while holding the lock: the waiting thread may destroy this counter as soon as it gets the lock.
        idle_.notify_all();
    }
}

std::size_t ActivityCounter::active() const
{
    const std::lock_guard lock(mutex_);
    return active_;
}

void ActivityCounter::waitUntilIdle()
{
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return active_ == 0; });
}

ActivityGuard::ActivityGuard(ActivityCounter &counter) : counter_(counter)
{
    counter_.begin();
}

ActivityGuard::~ActivityGuard()
{
    counter_.end();
}

} // namespace Portpaddle
