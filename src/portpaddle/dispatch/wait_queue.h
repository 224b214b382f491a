// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Requests that wait for a free upstream: interactive before deferrable, older before younger, with aging.
#pragma once

#include "portpaddle/settings/compiled.h"

#include <condition_variable>
#include <list>
#include <mutex>

namespace Portpaddle {

/// Wakes the most urgent waiter when capacity may have become free.
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t capacity = 4096);

    /// Waits until woken or for at most @p longest. False when the queue is full.
    bool wait(RequestClass requestClass, Millis arrivedAt, Millis longest);
    /// Capacity became free: wakes the most urgent waiter.
    void wakeOne(Millis now);
    /// Something changed for all, such as the settings.
    void wakeAll();
    std::size_t waiting() const;

private:
    struct Waiter
    {
        RequestClass requestClass;
        Millis arrivedAt;
        bool woken = false;
        std::condition_variable wake;
    };

    static bool moreUrgent(const Waiter &left, const Waiter &right, Millis now);

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::list<Waiter> waiters_;
};

} // namespace Portpaddle
