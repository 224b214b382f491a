// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// POSIX threads with a name and a stated stack size.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <pthread.h>

namespace Portpaddle {

/// Stacks are address space until touched; HTTP route matching needs the most.
inline constexpr std::size_t defaultStackBytes = 512 * 1024;

/// A joinable thread; joins when destroyed.
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
