// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Adds the entries about organisation limits to the digests that are sent anyway.
#pragma once

#include "portpaddle/wire/load_generated.h"

#include <span>
#include <vector>

namespace Portpaddle {

/// Maximum number of entries of each kind in one digest; digests with more are rejected. Entries that are sent together with
/// those by urgency are fewer, since both together take as many bytes.
inline constexpr std::size_t maxDigestLimits = 24;

/// The entries about limits that one daemon sends at one time.
struct LimitDigest
{
    std::vector<Wire::LimitCount> counts;
    std::vector<Wire::LimitGrant> grants;
    std::vector<Wire::LimitDemand> demands;
    /// The entries by urgency for the same organisations in the same order; empty if there are none. An entry and the one by
    /// urgency are sent in one digest, so that neither arrives without the other.
    std::vector<Wire::LimitUrgencyCount> urgencyCounts;
    std::vector<Wire::LimitUrgencyGrant> urgencyGrants;
    std::vector<Wire::LimitUrgencyDemand> urgencyDemands;

    bool empty() const;
};

/// Distributes @p limitEntries over those of @p digests that have room, then over new digests with the fields of @p header, whose
/// sequence numbers continue those of @p digests.
void attachLimits(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, LimitDigest limitEntries);

} // namespace Portpaddle
