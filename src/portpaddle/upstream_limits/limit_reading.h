// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads the limit that an upstream names in the head of an answer.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace Portpaddle {

/// Lower bound for rates, in requests a second: an upstream that is sent no requests could never withdraw its limit.
inline constexpr double minNamedRate = 0.05;
/// Upper bound for rates, in requests a second.
inline constexpr double maxNamedRate = 1e6;

/// Whether the head of an answer names a limit.
enum class LimitKind { Absent, Named, Unreadable };

/// The limit that the head of an answer names.
struct LimitReading
{
    LimitKind kind = LimitKind::Absent;
    /// Requests a second from all daemons together; set if a limit is named.
    double perSecond = 0;
};

/// Returns the rate clamped to the bounds above; NaN if it is negative or not finite.
double boundedRate(double perSecond);
/// Reads the header @p name. If it occurs several times, the lowest rate counts.
LimitReading readLimit(const boost::beast::http::fields &head, const std::string &name);

} // namespace Portpaddle
