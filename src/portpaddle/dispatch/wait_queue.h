// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Queue of requests that wait for a free upstream: interactive before deferrable, older before younger, with aging.
#pragma once

#include "portpaddle/settings/compiled.h"

#include <condition_variable>
#include <list>
#include <mutex>

namespace Portpaddle {

/// Blocks waiting requests and wakes the most urgent one when capacity may have become free. Thread-safe.
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t capacity = 4096);

    /// Waits until woken or for at most @p timeout. Returns false at once if the queue is full.
    bool wait(RequestClass requestClass, Millis arrivedAt, Millis timeout);
    /// Wakes the most urgent waiter, after capacity has become free.
    void wakeOne(Millis now);
    /// Wakes all waiters, after a change that affects all of them, such as one of the settings.
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

    static bool isMoreUrgent(const Waiter &left, const Waiter &right, Millis now);

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::list<Waiter> waiters_;
};

} // namespace Portpaddle
