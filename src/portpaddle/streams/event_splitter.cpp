// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/event_splitter.h"

#include "portpaddle/streams/event_id.h"
#include "portpaddle/streams/event_lines.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// Memory that is kept for the next events.
constexpr std::size_t keptBytes = 4 * 1024;
/// The part of an id that is shown if it is out of order.
constexpr std::size_t maxShownIdBytes = 64;

/// Returns the position after the line that begins at @p begin; npos if it has no end.
std::size_t lineEndAfter(std::string_view text, std::size_t begin)
{
    const std::size_t at = text.find_first_of(lineEnds, begin);
    if (at == std::string_view::npos) {
        return at;
    }
    const bool pair = text[at] == '\r' && at + 1 < text.size() && text[at + 1] == '\n';
    return at + (pair ? 2 : 1);
}

/// Returns the position after the first empty line from @p begin on, where a line begins; npos if there is none.
std::size_t blockEndAfter(std::string_view text, std::size_t begin)
{
    std::size_t line = begin;
    while (line < text.size()) {
        const bool empty = lineEnds.find(text[line]) != std::string_view::npos;
        line = lineEndAfter(text, line);
        if (empty) {
            return line;
        }
    }
    return std::string_view::npos;
}

/// Whether a line of @p block begins with @p field.
bool hasField(std::string_view block, std::string_view field)
{
    std::size_t at = block.find(field);
    while (at != std::string_view::npos && !isLineBegin(block, at)) {
        at = block.find(field, at + 1);
    }
    return at != std::string_view::npos;
}

bool isEvent(std::string_view block)
{
    return hasField(block, idField) || hasField(block, dataField);
}

} // namespace

// Bytes may come in small pieces and without any line end, so the search goes on where the last one stopped.
std::size_t EventSplitter::nextBlockEnd()
{
    while (lineBegin_ < partial_.size()) {
        const bool empty = lineEnds.find(partial_[lineBegin_]) != std::string_view::npos;
        const std::size_t next = lineEndAfter(partial_, std::max(lineBegin_, searched_));
        if (next == std::string_view::npos) {
            searched_ = partial_.size();
            return next;
        }
        const bool mayGoOn = next == partial_.size() && partial_.back() == '\r';
        if (mayGoOn && !empty) {
            searched_ = next - 1;
            return std::string_view::npos;
        }
        lineBegin_ = next;
        searched_ = next;
        if (empty) {
            return next;
        }
    }
    return std::string_view::npos;
}

// An event that ends with CR is not kept back until it is known whether LF follows, which would be dropped then.
std::string EventSplitter::feed(std::string_view bytes)
{
    if (endedWithCr_ && bytes.starts_with('\n')) {
        bytes.remove_prefix(1);
        endedWithCr_ = false;
    }
    partial_.append(bytes);
    std::string whole;
    std::size_t begin = 0;
    for (std::size_t next = nextBlockEnd(); next != std::string::npos; next = nextBlockEnd()) {
        const std::string_view block = std::string_view(partial_).substr(begin, next - begin);
        const bool kept = isEvent(block);
        if (kept && !takeId(lastIdIn(block))) {
            break;
        }
        whole += kept ? block : std::string_view{};
        droppedBytes_ = kept ? 0 : droppedBytes_ + block.size();
        begin = next;
    }
    if (!bytes.empty()) {
        endedWithCr_ = begin == partial_.size() && partial_.ends_with('\r');
    }
    partial_.erase(0, begin);
    lineBegin_ -= begin;
    searched_ -= begin;
    if (begin > 0 && partial_.capacity() > keptBytes) {
        partial_.shrink_to_fit();
    }
    return whole;
}

// Only the first event of a rest has to have an id: it shows whether the upstream goes on or begins again.
bool EventSplitter::takeId(std::string_view id)
{
    const bool isChecked = !precedingId_.empty() && (isFirstOfRest_ || !id.empty());
    if (isChecked && !mayFollow(precedingId_, id)) {
        outOfOrder_ = EventOutOfOrder{ std::string(id.substr(0, maxShownIdBytes)), precedingId_.substr(0, maxShownIdBytes) };
        return false;
    }
    isFirstOfRest_ = false;
    if (!id.empty()) {
        lastId_ = id;
        precedingId_ = precedingId_.empty() ? std::string() : lastId_;
    }
    return true;
}

void EventSplitter::expectAfter(std::string_view precedingId)
{
    precedingId_ = precedingId;
    isFirstOfRest_ = true;
    outOfOrder_.reset();
}

const std::optional<EventOutOfOrder> &EventSplitter::outOfOrder() const
{
    return outOfOrder_;
}

std::size_t EventSplitter::count(std::string_view whole)
{
    std::size_t events = 0;
    for (std::size_t at = blockEndAfter(whole, 0); at != std::string_view::npos; at = blockEndAfter(whole, at)) {
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
    partial_.shrink_to_fit();
    lineBegin_ = 0;
    searched_ = 0;
    droppedBytes_ = 0;
    endedWithCr_ = false;
}

const std::string &EventSplitter::partial() const
{
    return partial_;
}

} // namespace Portpaddle
