// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What the gateway knows of the software versions that began streams.

#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/version_filter.h"

#include <boost/asio/post.hpp>

namespace Portpaddle {

namespace {

// A slow store answers in 300 ms. Without its answer the daemons that were told are asked.
constexpr Millis maxProofWait{ 400 };

/// Version sets that are being read.
struct AwaitedSets
{
    explicit AwaitedSets(Executor executor) : arrived(executor)
    {
    }

    SteadyTimer arrived;
    /// Empty until they are read.
    VersionSets sets;
};

/// Whether the versions that began streams of @p route are on record until their callers have given up.
bool isRemembered(const Route &route)
{
    return 2 * route.timeout <= streamRetention;
}

} // namespace

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

void Gateway::setVersionSetReader(ReadVersionSets read)
{
    readVersionSets_ = std::move(read);
}

bool Gateway::hasStalled(SteadyTime now) const
{
    return tickedAt_ && now - *tickedAt_ >= options_.stallBound;
}

bool Gateway::followsStore(SteadyTime now) const
{
    return view_->storeReachable && tickedAt_ && !hasStalled(now) && now >= stalledUntil_;
}

std::optional<VersionKey> Gateway::soleVersion(const Route &route, const std::string &service, SteadyTime now) const
{
    const bool mayProve = followsStore(now) && isRemembered(route);
    return mayProve ? Portpaddle::soleVersion(view_->versionSets, service, options_.regions) : std::nullopt;
}

std::optional<VersionKey> Gateway::soleVersionOf(std::uint64_t service, const VersionSets &sets) const
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
            sole = isRemembered(route) ? Portpaddle::soleVersion(sets, entry.service, options_.regions) : std::nullopt;
            if (!sole) {
                return sole;
            }
        }
    }
    return sole;
}

// A daemon that is cut off, or whose call for changes is lost, may not notice it for seconds, and another version may have been
// announced and used since. A read that begins after the stream holds the announcement of the version that began it.
Task<std::optional<VersionKey>> Gateway::provenSoleVersion(const Route &route, const std::string &service)
{
    if (!soleVersion(route, service, BootClock::now())) {
        co_return std::nullopt;
    }
    const auto read = std::make_shared<AwaitedSets>(executor_);
    read->arrived.expires_after(maxProofWait);
    readVersionSets_([read, executor = executor_](const std::optional<VersionSets> &sets) {
        boost::asio::post(executor, [read, sets] {
            read->sets = sets.value_or(VersionSets());
            read->arrived.cancel();
        });
    });
    NetError ignored;
    co_await read->arrived.async_wait(awaitingInto(ignored));
    co_return Portpaddle::soleVersion(read->sets, service, options_.regions);
}

void Gateway::proveSoleVersion(std::uint64_t service, const StreamVersions::SoleAnswer &answer)
{
    if (!followsStore(BootClock::now()) || !soleVersionOf(service, view_->versionSets)) {
        answer(std::nullopt);
        return;
    }
    readVersionSets_([this, service, answer](const std::optional<VersionSets> &sets) {
        boost::asio::post(executor_,
                          [this, service, answer, read = sets.value_or(VersionSets())] { answer(soleVersionOf(service, read)); });
    });
}

void Gateway::announceStreams(SteadyTime now)
{
    for (Exchange *exchange : *inProgress_) {
        exchange->announceStream(now);
    }
}

} // namespace Portpaddle
