// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Remembers which software version began each stream.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/stream_versions/stream_key.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Portpaddle {

/// How long a stream is remembered after it began; callers give up their streams sooner.
inline constexpr Millis streamRetention{ 60'000 };

/// A bounded table; the oldest streams are forgotten first. Belongs to one event loop.
class BegunStreams
{
public:
    explicit BegunStreams(std::size_t capacity);

    /// Records that @p version began the stream. A stream that is recorded with two versions has no known one.
    void record(const StreamKey &stream, VersionKey version, SteadyTime now);
    /// Whether anything is recorded of @p stream, including that its version is ambiguous.
    bool contains(const StreamKey &stream, SteadyTime now) const;
    /// Returns the version that began @p stream; no value if it is not known.
    std::optional<VersionKey> find(const StreamKey &stream, SteadyTime now) const;
    std::size_t size() const;

private:
    struct Entry
    {
        std::optional<VersionKey> version;
        SteadyTime at;
    };

    void forgetOld(SteadyTime now);

    std::size_t capacity_;
    std::map<StreamKey, Entry> entries_;
    /// In the order in which they were first recorded.
    std::deque<StreamKey> order_;
};

} // namespace Portpaddle
