// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/event_splitter.h"

namespace Portpaddle {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data:";

/// Whether a line of @p block begins with @p field.
bool hasField(std::string_view block, std::string_view field)
{
    std::size_t at = block.find(field);
    while (at != std::string_view::npos && at > 0 && block[at - 1] != '\n') {
        at = block.find(field, at + 1);
    }
    return at != std::string_view::npos;
}

bool isEvent(std::string_view block)
{
    return hasField(block, idField) || hasField(block, dataField);
}

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
    std::string whole;
    std::size_t begin = 0;
    for (std::size_t end = partial_.find(separator); end != std::string::npos; end = partial_.find(separator, begin)) {
        const std::size_t next = end + separator.size();
        const std::string_view block = std::string_view(partial_).substr(begin, next - begin);
        const bool kept = isEvent(block);
        whole += kept ? block : std::string_view{};
        droppedBytes_ = kept ? 0 : droppedBytes_ + block.size();
        begin = next;
    }
    partial_.erase(0, begin);
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

std::size_t EventSplitter::bytesSinceEvent() const
{
    return partial_.size() + droppedBytes_;
}

void EventSplitter::dropPartial()
{
    partial_.clear();
    droppedBytes_ = 0;
}

const std::string &EventSplitter::partial() const
{
    return partial_;
}

} // namespace Portpaddle
