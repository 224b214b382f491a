// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/begun_streams.h"

namespace Portpaddle {

BegunStreams::BegunStreams(std::size_t capacity) : capacity_(capacity)
{
}

void BegunStreams::record(const StreamKey &stream, VersionKey version, SteadyTime now)
{
    forgetOld(now);
    const auto [entry, isNew] = entries_.try_emplace(stream, Entry{ version, now });
    if (isNew) {
        order_.push_back(stream);
    } else if (entry->second.version != version) {
        entry->second.version.reset();
    }
}

bool BegunStreams::contains(const StreamKey &stream, SteadyTime now) const
{
    const auto entry = entries_.find(stream);
    return entry != entries_.end() && now - entry->second.at < streamRetention;
}

std::optional<VersionKey> BegunStreams::find(const StreamKey &stream, SteadyTime now) const
{
    return contains(stream, now) ? entries_.at(stream).version : std::nullopt;
}

std::size_t BegunStreams::size() const
{
    return entries_.size();
}

void BegunStreams::forgetOld(SteadyTime now)
{
    while (!order_.empty() && (order_.size() >= capacity_ || now - entries_.at(order_.front()).at >= streamRetention)) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace Portpaddle
