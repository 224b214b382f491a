// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The Retry-After field of HTTP answers.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <chrono>

namespace Portpaddle {

/// A longer time is taken for this one.
inline constexpr std::chrono::milliseconds longestRetryAfter = std::chrono::hours(24);

/// What the head of an answer says.
enum class RetryAfterKind { Absent, Named, Unreadable };

struct RetryAfter
{
    RetryAfterKind kind = RetryAfterKind::Absent;
    /// From the arrival of the answer; set where a time is named.
    std::chrono::milliseconds time{ 0 };
};

/// Reads seconds, fractions included, or a date, which is compared with @p wall. Where the field stands several times the longest
/// time counts; a time that has passed is zero.
RetryAfter readRetryAfter(const boost::beast::http::fields &head, std::chrono::system_clock::time_point wall);

} // namespace Portpaddle
