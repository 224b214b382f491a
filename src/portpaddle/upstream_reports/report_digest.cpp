// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_reports/report_digest.h"

#include "portpaddle/fleet/digest_attachments.h"

namespace Portpaddle {

void attachReports(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, unsigned turns, ReportedLoads &loads,
                   SteadyTime now)
{
    attachToAll(digests, header, &Wire::LoadDigestT::upstream_reports, loads.takeDue({ std::nullopt, false, turns }, now),
                maxDigestReports);
}

void attachReports(std::vector<OutgoingDigest> &due, const Wire::LoadDigestT &header, ReportedLoads &loads, SteadyTime now)
{
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        const OutgoingDigest *first = firstOfShard(due, shard);
        if (first != nullptr) {
            const ReportScope scope{ shard, first->digest.kind == Wire::DigestKind::Sum, 1, maxDigestReports };
            attachToShard(due, header, shard, &Wire::LoadDigestT::upstream_reports, loads.takeDue(scope, now), maxDigestReports);
        }
    }
}

} // namespace Portpaddle
