// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/worker_pool.h"

#include <system_error>

namespace Portpaddle {

WorkerPool::WorkerPool(std::string name, std::size_t maximumThreads, std::size_t maximumQueued)
    : name_(std::move(name)), maximumThreads_(maximumThreads), maximumQueued_(maximumQueued)
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

bool WorkerPool::submit(std::function<void()> task)
{
    const std::lock_guard lock(mutex_);
    const bool needsThread = idle_ <= tasks_.size();
    if (stopping_ || (needsThread && threads_.size() >= maximumThreads_ && tasks_.size() >= maximumQueued_)) {
        return false;
    }
    if (needsThread && threads_.size() < maximumThreads_) {
        try {
            threads_.emplace_back(name_, [this] { runTasks(); });
        } catch (const std::system_error &) {
            if (threads_.empty()) {
                return false;
            }
        }
    }
    tasks_.push_back(std::move(task));
    wake_.notify_one();
    return true;
}

void WorkerPool::stop()
{
    std::vector<Thread> ending;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        ending.swap(threads_);
        wake_.notify_all();
    }
    for (Thread &thread : ending) {
        thread.join();
    }
}

std::size_t WorkerPool::threads() const
{
    const std::lock_guard lock(mutex_);
    return threads_.size();
}

void WorkerPool::runTasks()
{
    std::unique_lock lock(mutex_);
    while (true) {
        ++idle_;
        wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty()) {
            return;
        }
        std::function<void()> task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

} // namespace Portpaddle
