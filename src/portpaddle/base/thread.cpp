// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/thread.h"

#include <cerrno>
#include <memory>
#include <system_error>
#include <utility>

namespace Portpaddle {

namespace {

struct ThreadStart
{
    std::string name;
    std::function<void()> body;
};

/// The kernel limits the name of a thread to 15 characters.
constexpr std::size_t maxThreadNameLength = 15;

void *runThread(void *argument)
{
    const std::unique_ptr<ThreadStart> start(static_cast<ThreadStart *>(argument));
    pthread_setname_np(pthread_self(), start->name.substr(0, maxThreadNameLength).c_str());
    start->body();
    return nullptr;
}

} // namespace

Thread::Thread(const std::string &name, std::function<void()> body, std::size_t stackBytes)
{
    auto start = std::make_unique<ThreadStart>(ThreadStart{ name, std::move(body) });
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    const int status = pthread_create(&handle_, &attributes, runThread, start.get());
    pthread_attr_destroy(&attributes);
    if (status != 0) {
        throw std::system_error(status, std::generic_category(), "a thread could not be started");
    }
    start.release();
    joinable_ = true;
}

Thread::Thread(Thread &&other) noexcept : handle_(other.handle_), joinable_(std::exchange(other.joinable_, false))
{
}

Thread &Thread::operator=(Thread &&other) noexcept
{
    join();
    handle_ = other.handle_;
    joinable_ = std::exchange(other.joinable_, false);
    return *this;
}

Thread::~Thread()
{
    join();
}

void Thread::join()
{
    if (std::exchange(joinable_, false)) {
        pthread_join(handle_, nullptr);
    }
}

} // namespace Portpaddle
