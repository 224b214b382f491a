// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Cuts a text/event-stream into whole events, so that a broken one can go on elsewhere after the last whole one.
#pragma once

#include <string>
#include <string_view>

namespace Portpaddle {

/// Takes bytes as they come, gives whole events.
class EventSplitter
{
public:
    /// Adds @p bytes; returns all events that are whole now, with their separators.
    std::string take(std::string_view bytes);
    /// How many there are in @p whole, which ends with one.
    static std::size_t count(std::string_view whole);
    /// The id of the last whole event; empty before the first.
    const std::string &lastId() const;
    /// Forgets a part of an event whose stream broke.
    void dropPartial();
    /// Bytes of an event that is not whole.
    const std::string &partial() const;

private:
    std::string partial_;
    std::string lastId_;
};

} // namespace Portpaddle
