// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Adds the loads that upstreams have reported to the digests that are sent anyway.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/upstream_reports/reported_loads.h"

#include <vector>

namespace Portpaddle {

/// Adds all due reports that upstreams have made to this daemon to @p digests for daemons of the own region. Each report is added
/// in @p turns successive calls. Digests with the sender of @p header are appended where the others have no room.
void attachReports(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, unsigned turns, ReportedLoads &loads,
                   SteadyTime now);
/// Adds the due reports of each shard to the Report or Sum digests for it in @p due, at most maxDigestReports for each shard.
void attachReports(std::vector<OutgoingDigest> &due, const Wire::LoadDigestT &header, ReportedLoads &loads, SteadyTime now);

} // namespace Portpaddle
