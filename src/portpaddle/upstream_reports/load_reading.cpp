// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_reports/load_reading.h"

#include "portpaddle/net/beast_text.h"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace Portpaddle {

namespace {

constexpr std::size_t minFigures = 3;
constexpr std::size_t maxFigures = 4;
// Longer texts are not accepted; the largest figures within the bounds take 29 characters.
constexpr std::size_t maxTextLength = 64;

std::optional<ReportedLoad> parseLoad(std::string_view text)
{
    if (text.size() > maxTextLength) {
        return std::nullopt;
    }
    std::array<std::uint32_t, maxFigures> figures{ 0, 0, 0, usualPacePercent };
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    std::size_t count = 0;
    while (count < maxFigures) {
        const auto parsed = std::from_chars(position, end, figures.at(count));
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        ++count;
        position = parsed.ptr;
        if (position == end || *position != ',') {
            break;
        }
        ++position;
    }
    const ReportedLoad load{ figures[0], figures[1], figures[2], figures[3] };
    // The position is behind a comma where a fifth figure follows or the last one is missing.
    const bool whole = position == end && text.back() != ',' && count >= minFigures;
    return whole && isPlausible(load) ? std::optional(load) : std::nullopt;
}

} // namespace

LoadReading readReportedLoad(const boost::beast::http::fields &head, const std::string &name)
{
    LoadReading reading;
    const auto [first, last] = head.equal_range(name);
    for (auto field = first; field != last; ++field) {
        const std::optional<ReportedLoad> load = parseLoad(viewOf(field->value()));
        const bool differs = reading.kind == LoadReadingKind::Reported && load && *load != reading.load;
        if (!load || differs) {
            return { LoadReadingKind::Unreadable, {} };
        }
        reading = { LoadReadingKind::Reported, *load };
    }
    return reading;
}

} // namespace Portpaddle
