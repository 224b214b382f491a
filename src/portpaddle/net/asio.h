// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The Asio types used by the event-driven transport, bound to one executor type.
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

/// Wait traits that limit how long an event loop sleeps until its next timer.
struct BootClockWaits
{
    /// An event loop sleeps by a clock that does not advance while the VM is suspended, so it must check its timers this often.
    static constexpr std::chrono::milliseconds maxSleep{ 100 };

    static BootClock::duration to_wait_duration(const BootClock::duration &left)
    {
        return std::min<BootClock::duration>(left, maxSleep);
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

/// A coroutine that runs on an event loop.
template<typename T>
using Task = boost::asio::awaitable<T, Executor>;

/// The completion token that resumes the awaiting coroutine and throws on an error.
inline constexpr boost::asio::use_awaitable_t<Executor> awaiting;

/// Returns a completion token like awaiting that stores the error in @p error instead of throwing.
inline auto awaitingInto(NetError &error)
{
    return boost::asio::redirect_error(awaiting, error);
}

} // namespace Portpaddle
