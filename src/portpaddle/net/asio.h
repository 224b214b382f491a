// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The parts of Asio that the event-driven transport uses, bound to one executor type.
#pragma once

// Asio 1.74 relies on std::exchange without including it; g++ 12 needs this line first.
#include <utility>

#include "portpaddle/interfaces/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace Portpaddle {

/// How long a loop sleeps for its next timer.
struct BootClockWaits
{
    /// A loop sleeps by a clock that stands still while the VM is suspended: it looks at its timers this often.
    static constexpr std::chrono::milliseconds longestSleep{ 100 };

    static BootClock::duration to_wait_duration(const BootClock::duration &left)
    {
        return std::min<BootClock::duration>(left, longestSleep);
    }
    static BootClock::duration to_wait_duration(const BootClock::time_point &until)
    {
        return to_wait_duration(until - BootClock::now());
    }
};

using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
using SteadyTimer = boost::asio::basic_waitable_timer<BootClock, BootClockWaits, Executor>;
using NetError = boost::system::error_code;

/// A coroutine on an event loop.
template<typename T>
using Task = boost::asio::awaitable<T, Executor>;

/// Completion token that resumes the awaiting coroutine.
inline constexpr boost::asio::use_awaitable_t<Executor> awaiting;

/// Like awaiting, with the outcome in @p error instead of an exception.
inline auto awaitingInto(NetError &error)
{
    return boost::asio::redirect_error(awaiting, error);
}

} // namespace Portpaddle
