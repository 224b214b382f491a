// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The places at all brittle upstreams for which this daemon hands them out.
#pragma once

#include "portpaddle/upstream_places/upstream_room.h"
#include "portpaddle/wire/load_generated.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace Portpaddle {

/// Applies what daemons, this one included, say of places. Upstreams are named by the hash of their incarnation. Belongs to one
/// event loop.
class PlaceLedger
{
public:
    /// Applies @p note. Returns whether the place was granted where the note asks for one, else no value.
    std::optional<bool> apply(const Wire::PlaceNote &note, SteadyTime now);
    /// Forgets the upstreams for which @p isListed is false.
    void keepOnly(const std::function<bool(std::uint64_t upstream)> &isListed);
    /// Frees places that nobody has confirmed for a while. Call a few times a second.
    void tick(SteadyTime now);
    /// Returns what is known of an upstream; null if nothing.
    const UpstreamRoom *find(std::uint64_t upstream) const;

private:
    std::unordered_map<std::uint64_t, UpstreamRoom> rooms_;
};

} // namespace Portpaddle
