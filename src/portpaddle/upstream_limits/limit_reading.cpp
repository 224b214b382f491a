// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_reading.h"

#include "portpaddle/net/beast_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace Portpaddle {

namespace {

// Longer texts are not accepted as a rate.
constexpr std::size_t maxTextLength = 32;

double parseRate(std::string_view text)
{
    double rate = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), rate);
    const bool whole = !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole && text.size() <= maxTextLength ? boundedRate(rate) : std::numeric_limits<double>::quiet_NaN();
}

} // namespace

double boundedRate(double perSecond)
{
    const bool isRate = std::isfinite(perSecond) && perSecond >= 0;
    return isRate ? std::clamp(perSecond, minNamedRate, maxNamedRate) : std::numeric_limits<double>::quiet_NaN();
}

LimitReading readLimit(const boost::beast::http::fields &head, const std::string &name)
{
    LimitReading reading;
    const auto [first, last] = head.equal_range(name);
    for (auto field = first; field != last; ++field) {
        const double rate = parseRate(viewOf(field->value()));
        if (std::isnan(rate)) {
            reading.kind = reading.kind == LimitKind::Absent ? LimitKind::Unreadable : reading.kind;
        } else if (reading.kind != LimitKind::Named || rate < reading.perSecond) {
            reading = { LimitKind::Named, rate };
        }
    }
    return reading;
}

} // namespace Portpaddle
