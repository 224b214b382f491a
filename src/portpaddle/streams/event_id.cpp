// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/event_id.h"

#include "portpaddle/streams/event_lines.h"

#include <algorithm>
#include <tuple>

namespace Portpaddle {

namespace {

bool isNumber(std::string_view id)
{
    return !id.empty() && id.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string_view withoutLeadingZeros(std::string_view number)
{
    number.remove_prefix(std::min(number.find_first_not_of('0'), number.size()));
    return number;
}

/// Compares numbers of any length.
bool isAbove(std::string_view number, std::string_view other)
{
    const std::string_view one = withoutLeadingZeros(number);
    const std::string_view two = withoutLeadingZeros(other);
    return std::tuple(one.size(), one) > std::tuple(two.size(), two);
}

} // namespace

std::string_view lastIdIn(std::string_view events)
{
    std::size_t at = events.rfind(idField);
    while (at != std::string_view::npos && !isLineBegin(events, at)) {
        at = events.rfind(idField, at - 1);
    }
    if (at == std::string_view::npos) {
        return {};
    }
    std::string_view value = events.substr(at + idField.size());
    value = value.substr(0, value.find_first_of(lineEnds));
    while (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

// Only numbers have an order. After another id all that can be told is that the same event came again.
bool mayFollow(std::string_view last, std::string_view next)
{
    if (next.empty()) {
        return false;
    }
    return isNumber(last) ? isNumber(next) && isAbove(next, last) : next != last;
}

} // namespace Portpaddle
