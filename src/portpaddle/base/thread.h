// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// POSIX threads with a name and an explicit stack size.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <pthread.h>

namespace Portpaddle {

/// The stack size of threads in bytes, dimensioned for HTTP route matching. Untouched stack pages take no memory.
inline constexpr std::size_t defaultStackBytes = 512 * 1024;

/// A thread that is joined when destroyed. An exception that leaves its body is logged, and the body is run again after a short
/// time, as without it the process would go on without the thread's work.
class Thread
{
public:
    Thread() = default;
    Thread(const std::string &name, std::function<void()> body, std::size_t stackBytes = defaultStackBytes);
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;
    ~Thread();

    void join();

private:
    pthread_t handle_{};
    bool joinable_ = false;
};

} // namespace Portpaddle
