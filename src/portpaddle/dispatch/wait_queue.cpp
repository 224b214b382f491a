// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/wait_queue.h"

#include "portpaddle/routing/decision.h"

namespace Portpaddle {

WaitQueue::WaitQueue(std::size_t capacity) : capacity_(capacity)
{
}

bool WaitQueue::wait(RequestClass requestClass, Millis arrivedAt, Millis timeout)
{
    std::unique_lock lock(mutex_);
    if (waiters_.size() >= capacity_) {
        return false;
    }
    const auto self = waiters_.emplace(waiters_.end());
    self->requestClass = requestClass;
    self->arrivedAt = arrivedAt;
    self->wake.wait_for(lock, timeout, [&] { return self->woken; });
    waiters_.erase(self);
    return true;
}

void WaitQueue::wakeOne(Millis now)
{
    const std::lock_guard lock(mutex_);
    Waiter *best = nullptr;
    for (Waiter &waiter : waiters_) {
        if (!waiter.woken && (best == nullptr || isMoreUrgent(waiter, *best, now))) {
            best = &waiter;
        }
    }
    if (best != nullptr) {
        best->woken = true;
        best->wake.notify_one();
    }
}

void WaitQueue::wakeAll()
{
    const std::lock_guard lock(mutex_);
    for (Waiter &waiter : waiters_) {
        waiter.woken = true;
        waiter.wake.notify_one();
    }
}

std::size_t WaitQueue::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiters_.size();
}

bool WaitQueue::isMoreUrgent(const Waiter &left, const Waiter &right, Millis now)
{
    const auto isUrgent = [&](const Waiter &waiter) {
        return waiter.requestClass == RequestClass::Interactive || now - waiter.arrivedAt >= deferrableAging;
    };
    if (isUrgent(left) != isUrgent(right)) {
        return isUrgent(left);
    }
    return left.arrivedAt < right.arrivedAt;
}

} // namespace Portpaddle
