// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/event_splitter.h"

namespace Portpaddle {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view idField = "id:";

/// Returns the value of the last id line in @p events; empty if there is none.
std::string_view lastIdIn(std::string_view events)
{
    std::size_t at = events.rfind(idField);
    while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n') {
        at = at == 0 ? std::string_view::npos : events.rfind(idField, at - 1);
    }
    if (at == std::string_view::npos) {
        return {};
    }
    std::string_view value = events.substr(at + idField.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    while (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    partial_.append(bytes);
    const std::size_t end = partial_.rfind(separator);
    if (end == std::string::npos) {
        return {};
    }
    std::string whole = partial_.substr(0, end + separator.size());
    partial_.erase(0, whole.size());
    const std::string_view id = lastIdIn(whole);
    if (!id.empty()) {
        lastId_ = id;
    }
    return whole;
}

std::size_t EventSplitter::count(std::string_view whole)
{
    std::size_t events = 0;
    for (std::size_t at = whole.find(separator); at != std::string_view::npos;
         at = whole.find(separator, at + separator.size())) {
        ++events;
    }
    return events;
}

const std::string &EventSplitter::lastId() const
{
    return lastId_;
}

void EventSplitter::dropPartial()
{
    partial_.clear();
}

const std::string &EventSplitter::partial() const
{
    return partial_;
}

} // namespace Portpaddle
