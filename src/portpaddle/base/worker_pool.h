// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A bounded thread pool that grows on demand.
#pragma once

#include "portpaddle/base/thread.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Portpaddle {

/// Runs tasks on a limited number of threads. Further tasks are queued up to a limit, and rejected beyond that limit.
class WorkerPool
{
public:
    WorkerPool(std::string name, std::size_t maximumThreads, std::size_t maximumQueued);
    ~WorkerPool();

    /// Queues @p task; returns false and drops the task when the pool is full or stopping.
    bool submit(std::function<void()> task);
    /// Finishes all accepted tasks and joins all threads.
    void stop();
    std::size_t threads() const;

private:
    void runTasks();

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
