// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What the gateway knows of the software versions that began streams.

#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/version_filter.h"

namespace Portpaddle {

void Gateway::setVersionSetWriter(VersionSetRecorder::WriteRecord write)
{
    versionSets_.setWriter(std::move(write));
}

void Gateway::excludeVersions(const ChoiceContext &context, std::vector<UpstreamCandidate> &candidates,
                              const std::vector<const UpstreamRecord *> &records, SteadyTime now) const
{
    if (context.streamVersion) {
        keepToVersion(*context.streamVersion, context.versionRule, candidates, records);
        return;
    }
    excludeOtherVersions(context.versionRule, context.arm, candidates, records);
    if (!context.beginsStream) {
        return;
    }
    for (UpstreamCandidate &candidate : candidates) {
        if (!versionSets_.mayBegin(context.service, records[candidate.index]->version, now)) {
            candidate.exclusionReason = ExclusionReason::VersionAbsent;
        }
    }
}

bool Gateway::hasStalled(SteadyTime now) const
{
    return tickedAt_ && now - *tickedAt_ >= options_.stallBound;
}

// Old knowledge of the store proves nothing: another version may have been announced and used since.
std::optional<VersionKey> Gateway::soleVersion(const Route &route, const std::string &service, SteadyTime now) const
{
    const bool isCurrent = view_->storeReachable && tickedAt_ && !hasStalled(now) && now >= stalledUntil_;
    const bool isRemembered = 2 * route.timeout <= streamRetention;
    return isCurrent && isRemembered ? Portpaddle::soleVersion(view_->versionSets, service, options_.regions) : std::nullopt;
}

std::optional<VersionKey> Gateway::soleVersionOf(std::uint64_t service, SteadyTime now) const
{
    std::optional<VersionKey> sole;
    if (!view_->services) {
        return sole;
    }
    for (const Route &route : view_->services->routes) {
        for (const WeightedService &entry : route.services) {
            if (route.kind != RouteKind::Stream || !route.resumable || serviceKey(entry.service) != service) {
                continue;
            }
            sole = soleVersion(route, entry.service, now);
            if (!sole) {
                return sole;
            }
        }
    }
    return sole;
}

void Gateway::announceStreams(SteadyTime now)
{
    for (Exchange *exchange : *inProgress_) {
        exchange->announceStream(now);
    }
}

} // namespace Portpaddle
