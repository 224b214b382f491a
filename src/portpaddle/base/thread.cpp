// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/thread.h"

#include "portpaddle/base/log.h"

#include <cerrno>
#include <chrono>
#include <exception>
#include <memory>
#include <system_error>
#include <thread>
#include <utility>

namespace Portpaddle {

namespace {

// Before a body that ended with an exception starts anew.
constexpr std::chrono::milliseconds restartDelay{ 200 };

struct ThreadStart
{
    std::string name;
    std::function<void()> body;
};

/// The kernel limits the name of a thread to 15 characters.
constexpr std::size_t maxThreadNameLength = 15;

void logFailure(const std::string &name, const char *message)
{
    try {
        logEvent(LogEvent::TaskFailed, { { "task", name }, { "message", message } });
    } catch (const std::exception &) {
        // There is no memory for a line either; the process goes on without it.
    }
}

/// Runs the body; returns false if an exception left it.
bool runBody(const ThreadStart &start) noexcept
{
    try {
        start.body();
        return true;
    } catch (const std::exception &exception) {
        logFailure(start.name, exception.what());
    } catch (...) {
        logFailure(start.name, "an exception of an unknown type");
    }
    return false;
}

void *runThread(void *argument)
{
    const std::unique_ptr<ThreadStart> start(static_cast<ThreadStart *>(argument));
    pthread_setname_np(pthread_self(), start->name.substr(0, maxThreadNameLength).c_str());
    while (!runBody(*start)) {
        std::this_thread::sleep_for(restartDelay);
    }
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
