// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_places/place_ledger.h"

#include "portpaddle/upstream_limits/limit_reading.h"

#include <cmath>

namespace Portpaddle {

namespace {

Rejection rejectionOf(const Wire::PlaceNote &note)
{
    const std::optional<unsigned> room = note.room() > 0 ? std::optional<unsigned>(note.room()) : std::nullopt;
    return { room, std::chrono::milliseconds(note.delay_ms()) };
}

} // namespace

std::optional<bool> PlaceLedger::apply(const Wire::PlaceNote &note, SteadyTime now)
{
    const double borne = boundedRate(note.borne());
    if (std::isnan(borne)) {
        return std::nullopt;
    }
    UpstreamRoom &room = rooms_[note.upstream()];
    room.setBorne(borne);
    switch (note.step()) {
    case Wire::PlaceStep::Asked:
        return room.take(note.token(), now);
    case Wire::PlaceStep::Held:
        room.confirm(note.token(), now);
        break;
    case Wire::PlaceStep::Answered:
        room.release(note.token(), PlaceEnd::Answered, now);
        break;
    case Wire::PlaceStep::Ended:
        room.release(note.token(), PlaceEnd::Unknown, now);
        break;
    case Wire::PlaceStep::Rejected:
        room.reject(note.token(), rejectionOf(note), now);
        break;
    case Wire::PlaceStep::Granted:
    case Wire::PlaceStep::Denied:
        break;
    }
    return std::nullopt;
}

void PlaceLedger::keepOnly(const std::function<bool(std::uint64_t upstream)> &isListed)
{
    std::erase_if(rooms_, [&](const auto &item) { return !isListed(item.first); });
}

void PlaceLedger::tick(SteadyTime now)
{
    for (auto &[upstream, room] : rooms_) {
        room.dropLapsed(now);
    }
}

const UpstreamRoom *PlaceLedger::find(std::uint64_t upstream) const
{
    const auto found = rooms_.find(upstream);
    return found == rooms_.end() ? nullptr : &found->second;
}

} // namespace Portpaddle
