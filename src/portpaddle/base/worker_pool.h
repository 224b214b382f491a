// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A bounded pool of threads that grows with demand.
#pragma once

#include "portpaddle/base/thread.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Portpaddle {

/// Runs tasks on up to a stated number of threads; further tasks are queued up to a bound, then refused.
class WorkerPool
{
public:
    WorkerPool(std::string name, std::size_t maximumThreads, std::size_t maximumQueued);
    ~WorkerPool();

    /// False when the pool is full or stopping; the task was not taken then.
    bool submit(std::function<void()> task);
    /// Finishes what was taken and ends all threads.
    void stop();
    std::size_t threads() const;

private:
    void work();

    const std::string name_;
    const std::size_t maximumThreads_;
    const std::size_t maximumQueued_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    std::vector<Thread> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace Portpaddle
