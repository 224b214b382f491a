// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Splits a text/event-stream into complete events, so that a broken stream can be continued after its last complete event.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// An event that does not go on with a stream, as its id is not above that of the event before it.
struct EventOutOfOrder
{
    /// The begin of its id; empty if it has none.
    std::string id;
    /// The begin of the id before it.
    std::string precedingId;
};

/// Buffers bytes of a stream until an event is complete: until an empty line, where lines end with LF, CR LF or CR.
class EventSplitter
{
public:
    /// What is fed next is the rest of a stream after the event with id @p precedingId, or a whole stream if that is empty.
    void expectAfter(std::string_view precedingId);
    /// Appends @p bytes; returns all events that are now complete, with their separators, up to one that is out of order. Blocks
    /// with neither an id nor data are no events and are dropped.
    std::string feed(std::string_view bytes);
    /// Returns the event at which feed() stopped; no value if there is none.
    const std::optional<EventOutOfOrder> &outOfOrder() const;
    /// Returns the number of events in @p whole, which must end with a complete event.
    static std::size_t count(std::string_view whole);
    /// Returns the last event id among the complete events; empty before the first.
    const std::string &lastId() const;
    /// Discards the bytes of an incomplete event after its stream broke.
    void dropPartial();
    /// Returns the bytes of the event that is not yet complete.
    const std::string &partial() const;
    /// Returns the number of bytes that arrived since the last event and are none.
    std::size_t bytesSinceEvent() const;

private:
    /// Returns the position after the next complete block of partial_; npos if there is none.
    std::size_t nextBlockEnd();
    /// Records the id of the next event, which may be empty; returns false if the event is out of order.
    bool takeId(std::string_view id);

    std::string partial_;
    /// Begin of the line of partial_ that is not yet known to be complete.
    std::size_t lineBegin_ = 0;
    /// Bytes of partial_ that need not be searched again for the end of that line.
    std::size_t searched_ = 0;
    std::string lastId_;
    /// The id that the next one of a rest has to be above; empty in a stream that is whole.
    std::string precedingId_;
    bool isFirstOfRest_ = false;
    std::optional<EventOutOfOrder> outOfOrder_;
    /// The last event ended with CR, which may be the first half of a line end.
    bool endedWithCr_ = false;
    std::size_t droppedBytes_ = 0;
};

} // namespace Portpaddle
