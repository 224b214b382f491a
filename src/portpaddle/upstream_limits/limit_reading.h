// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What an answer says of the limit of the upstream that gave it.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace Portpaddle {

/// A smaller rate is taken for this one: an upstream that is sent nothing can never say that its need is over.
inline constexpr double leastNamedRate = 0.05;
/// A larger rate is taken for this one.
inline constexpr double maxNamedRate = 1e6;

/// What the head of an answer says.
enum class LimitKind { Absent, Named, Unreadable };

struct LimitReading
{
    LimitKind word = LimitKind::Absent;
    /// Requests a second from all daemons together; set where a limit is named.
    double perSecond = 0;
};

/// The rate within the bounds above; not a number where it cannot be one.
double boundedRate(double perSecond);
/// Reads the header @p name. Where it stands several times the lowest rate counts.
LimitReading readLimit(const boost::beast::http::fields &head, const std::string &name);

} // namespace Portpaddle
