// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Adds the entries about organisation limits to the digests that are sent anyway.
#pragma once

#include "portpaddle/wire/load_generated.h"

#include <span>
#include <vector>

namespace Portpaddle {

/// Maximum number of entries of each kind in one digest; digests with more are rejected.
inline constexpr std::size_t maxDigestLimits = 24;

/// The entries about limits that one daemon sends at one time.
struct LimitDigest
{
    std::vector<Wire::LimitCount> counts;
    std::vector<Wire::LimitGrant> grants;
    std::vector<Wire::LimitDemand> demands;

    bool empty() const;
};

/// Distributes @p limitEntries over those of @p digests that have room, then over new digests with the fields of @p header, whose
/// sequence numbers continue those of @p digests.
void attachLimits(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, LimitDigest limitEntries);

} // namespace Portpaddle
