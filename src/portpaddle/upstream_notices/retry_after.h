// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads the Retry-After header of HTTP answers.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <chrono>

namespace Portpaddle {

/// Upper bound for the time; a longer one is reduced to this.
inline constexpr std::chrono::milliseconds longestRetryAfter = std::chrono::hours(24);

/// Whether the head of an answer names a time.
enum class RetryAfterKind { Absent, Named, Unreadable };

/// The time that the head of an answer names.
struct RetryAfter
{
    RetryAfterKind kind = RetryAfterKind::Absent;
    /// Time from the arrival of the answer; set if a time is named.
    std::chrono::milliseconds time{ 0 };
};

/// Reads seconds, which may have a fraction, or a date, which is compared with @p wall. If the header occurs several times, the
/// longest time counts; a date in the past gives zero.
RetryAfter readRetryAfter(const boost::beast::http::fields &head, std::chrono::system_clock::time_point wall);

} // namespace Portpaddle
