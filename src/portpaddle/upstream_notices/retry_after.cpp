// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_notices/retry_after.h"

#include "portpaddle/net/beast_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <optional>
#include <string>

namespace Portpaddle {

namespace {

using Millis = std::chrono::milliseconds;

// Longer texts are not accepted as a number or a date.
constexpr std::size_t maxTextLength = 64;
// The three date formats that HTTP allows.
constexpr const char *dateFormats[] = { "%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT", "%a %b %e %H:%M:%S %Y" };

std::optional<Millis> parseSeconds(std::string_view text)
{
    double seconds = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool tooLong = parsed.ec == std::errc::result_out_of_range && text.front() != '-';
    if (parsed.ptr != end || (parsed.ec != std::errc{} && !tooLong) || !std::isfinite(seconds) || seconds < 0) {
        return std::nullopt;
    }
    const double maxSeconds = std::chrono::duration<double>(longestRetryAfter).count();
    const double bounded = tooLong ? maxSeconds : std::min(seconds, maxSeconds);
    return std::chrono::ceil<Millis>(std::chrono::duration<double>(bounded));
}

std::optional<Millis> parseDate(std::string_view text, std::chrono::system_clock::time_point wall)
{
    const std::string date(text);
    for (const char *format : dateFormats) {
        std::tm fields{};
        const char *rest = strptime(date.c_str(), format, &fields);
        if (rest != nullptr && *rest == '\0') {
            const auto until = std::chrono::system_clock::from_time_t(timegm(&fields));
            return std::clamp(std::chrono::ceil<Millis>(until - wall), Millis(0), longestRetryAfter);
        }
    }
    return std::nullopt;
}

} // namespace

RetryAfter readRetryAfter(const boost::beast::http::fields &head, std::chrono::system_clock::time_point wall)
{
    RetryAfter result;
    const auto [first, last] = head.equal_range(boost::beast::http::field::retry_after);
    for (auto field = first; field != last; ++field) {
        const std::string_view text = viewOf(field->value());
        std::optional<Millis> time;
        if (!text.empty() && text.size() <= maxTextLength) {
            time = parseSeconds(text);
            time = time ? time : parseDate(text, wall);
        }
        if (time) {
            result = { RetryAfterKind::Named, std::max(result.time, *time) };
        } else if (result.kind == RetryAfterKind::Absent) {
            result.kind = RetryAfterKind::Unreadable;
        }
    }
    return result;
}

} // namespace Portpaddle
