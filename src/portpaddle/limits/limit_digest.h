// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Puts what is told of limits into the digests that go out anyway.
#pragma once

#include "portpaddle/wire/load_generated.h"

#include <span>
#include <vector>

namespace Portpaddle {

/// Entries of each kind that one digest holds; larger ones are refused.
inline constexpr std::size_t maxDigestLimits = 24;

/// What one daemon tells of limits at one time.
struct LimitDigest
{
    std::vector<Wire::LimitCount> counts;
    std::vector<Wire::LimitGrant> grants;
    std::vector<Wire::LimitDemand> demands;

    bool empty() const;
};

/// Spreads @p news over @p digests where these have room, and over more of them like @p header. Their sequence goes on.
void attachLimits(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, LimitDigest news);

} // namespace Portpaddle
