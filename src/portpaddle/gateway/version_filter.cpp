// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/version_filter.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

void excludeOtherVersions(const std::optional<VersionRule> &rule, VersionArm arm, std::vector<UpstreamCandidate> &candidates,
                          const std::vector<const UpstreamRecord *> &records)
{
    if (!rule || arm == VersionArm::Any) {
        return;
    }
    std::vector<std::pair<std::uint64_t, UpstreamCandidate *>> newer;
    for (UpstreamCandidate &candidate : candidates) {
        const UpstreamRecord &record = *records[candidate.index];
        if (armOf(rule, record.version) != arm) {
            candidate.exclusionReason = ExclusionReason::VersionAbsent;
        } else if (arm == VersionArm::Newer) {
            newer.emplace_back(stableHash(record.id), &candidate);
        }
    }
    // A part of the new upstreams receives the share, so that each of them has the load that it would have in full service: some
    // faults show only under load.
    const auto used = static_cast<std::size_t>(std::ceil(rule->share * static_cast<double>(newer.size())));
    std::sort(newer.begin(), newer.end());
    for (std::size_t index = used; index < newer.size(); ++index) {
        newer[index].second->exclusionReason = ExclusionReason::VersionAbsent;
    }
}

void keepToVersion(VersionKey version, const std::optional<VersionRule> &rule, std::vector<UpstreamCandidate> &candidates,
                   const std::vector<const UpstreamRecord *> &records)
{
    for (UpstreamCandidate &candidate : candidates) {
        const UpstreamRecord &record = *records[candidate.index];
        if (versionKeyOf(record.version) != version || !admitsVersion(rule, record.version)) {
            candidate.exclusionReason = ExclusionReason::VersionAbsent;
        }
    }
}

} // namespace Portpaddle
