// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The form of rollout reports in digests between daemons.
#pragma once

#include "portpaddle/rollouts/rollout_evidence.h"
#include "portpaddle/wire/load_generated.h"

#include <vector>

namespace Portpaddle {

/// Maximum number of counts, one for each route and version, in a digest that has no other content.
inline constexpr std::size_t maxDigestRolloutCounts = 10;

/// Returns digests of @p kind with the counts of @p reports, each to be sent in a datagram of its own.
std::vector<Wire::LoadDigestT> encodeReports(const Wire::LoadDigestT &header, Wire::DigestKind kind,
                                             const std::vector<RolloutReport> &reports);
/// Returns the report in @p digest. It may hold only some of the routes.
RolloutReport decodeReport(const Wire::LoadDigestT &digest);

} // namespace Portpaddle
