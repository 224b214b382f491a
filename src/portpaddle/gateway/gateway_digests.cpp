// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Collects the digests that a gateway sends to other daemons, and applies those that it receives; sets who writes what daemons
// decide together.

#include "portpaddle/fleet/digest_attachments.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/version_filter.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/placement/service_summary.h"
#include "portpaddle/upstream_reports/report_digest.h"

namespace Portpaddle {

namespace {

// The version that receives most of a service's requests is the one whose capacity other regions are told.
constexpr double mainVersionChance = 0.5;

} // namespace

void Gateway::setQuarantineWriter(CrashGuard::WriteRecord write)
{
    crashes_.setWriteRecord(std::move(write));
}

void Gateway::setRolloutWriter(RolloutController::WriteRecord write)
{
    rollouts_.setWriter(std::move(write));
}

void Gateway::setLimitWriter(UpstreamLimits::WriteRecord write)
{
    upstreamLimits_.setWriteRecord(write);
    brittleServices_.setWriteRecord(std::move(write));
}

void Gateway::setDigestSender(const std::function<void(const OutgoingDigest &digest)> &send)
{
    streamVersions_.setSend(send);
    places_.setSend(send);
    sendDigest_ = send;
}

void Gateway::setDigestInterval(std::chrono::milliseconds interval)
{
    regions_.setDigestInterval(interval);
    localDigestTurns_ = static_cast<unsigned>(interval / digestInterval);
}

void Gateway::applyDigest(const Wire::LoadDigestT &digest)
{
    const SteadyTime now = BootClock::now();
    if (digest.daemon == identity_.id) {
        return;
    }
    if (digest.kind == Wire::DigestKind::Crashes) {
        crashes_.takeNews(digest, now);
        return;
    }
    if (digest.kind == Wire::DigestKind::UpstreamLimits) {
        upstreamLimits_.takeNews(digest, now);
        return;
    }
    if (digest.kind == Wire::DigestKind::UpstreamPlaces) {
        brittleServices_.takeNews(digest, now);
        places_.apply(digest, now);
        return;
    }
    if (digest.kind == Wire::DigestKind::RolloutReport || digest.kind == Wire::DigestKind::RolloutSum) {
        rollouts_.take(digest, now);
        return;
    }
    if (digest.kind == Wire::DigestKind::StreamVersions) {
        streamVersions_.take(digest, now);
        return;
    }
    regions_.applyDigest(digest, now);
    reportedLoads_.takeNews(digest, now);
    if (digest.region == identity_.region) {
        models_.take(digest, now);
    }
    if (digest.kind != Wire::DigestKind::Direct) {
        loadAggregation_.take(digest, now);
    } else if (digest.region == identity_.region) {
        loads_.applyDigest(digest, now);
        organisationLimits_.takeCounts(digest.daemon, digest.limit_counts, now, digest.limit_urgency_counts);
    } else {
        organisationLimits_.takeDemands(digest.region, digest.limit_demands, now, digest.limit_urgency_demands);
    }
}

void Gateway::beginDigestRound(DigestReach reach)
{
    announcedParts_.at(static_cast<std::size_t>(reach)) = loads_.takePlaced(reach);
}

std::vector<Wire::LoadDigestT> Gateway::digests(DigestReach reach)
{
    const SteadyTime now = BootClock::now();
    Wire::LoadDigestT header = digestHeader();
    header.sequence = digestSequence_ + 1;
    addServiceWaits(header, now);
    const auto shares = reach == DigestReach::OwnRegion ? loads_.shares(now) : std::vector<Wire::UpstreamShare>{};
    std::vector<Wire::LoadDigestT> result = splitIntoDigests(header, shares, announcedParts_.at(static_cast<std::size_t>(reach)));
    const auto all = [](std::uint32_t) { return true; };
    LimitDigest limits;
    if (reach == DigestReach::OwnRegion) {
        limits.counts = organisationLimits_.counts(all, now);
        limits.urgencyCounts = organisationLimits_.urgencyCounts(all, now);
    } else {
        limits.demands = organisationLimits_.demands(all, now);
        limits.urgencyDemands = organisationLimits_.urgencyDemands(all);
    }
    attachLimits(result, header, std::move(limits));
    if (reach == DigestReach::OwnRegion) {
        attachReports(result, header, localDigestTurns_, reportedLoads_, now);
        attachSamples(result, header);
    }
    digestSequence_ += result.size();
    return result;
}

void Gateway::attachSamples(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header)
{
    std::vector<Wire::FirstTokenTime> samples;
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        const std::vector<Wire::FirstTokenTime> due = models_.takeDue(shard);
        samples.insert(samples.end(), due.begin(), due.end());
    }
    attachToAll(digests, header, &Wire::LoadDigestT::first_token_times, samples, maxDigestSamples);
}

std::vector<OutgoingDigest> Gateway::dueFleetDigests(std::size_t turn)
{
    const SteadyTime now = BootClock::now();
    const auto addWaits = [this, now](Wire::LoadDigestT &digest) { addServiceWaits(digest, now); };
    setDigestInterval(loadAggregation_.sendInterval());
    std::vector<OutgoingDigest> due = loadAggregation_.due(turn, digestHeader(), addWaits, now);
    attachReports(due, digestHeader(), reportedLoads_, now);
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        if (firstOfShard(due, shard) != nullptr) {
            attachToShard(due, digestHeader(), shard, &Wire::LoadDigestT::first_token_times, models_.takeDue(shard),
                          maxDigestSamples);
        }
    }
    for (OutgoingDigest &outgoing : due) {
        outgoing.digest.sequence = ++digestSequence_;
    }
    return due;
}

std::vector<OutgoingDigest> Gateway::dueCrashDigests()
{
    return crashes_.dueDigests(digestHeader());
}

std::vector<OutgoingDigest> Gateway::dueRolloutDigests()
{
    return rollouts_.due(digestHeader(), BootClock::now());
}

std::vector<OutgoingDigest> Gateway::dueLimitDigests()
{
    announceBrittleServices(BootClock::now());
    return upstreamLimits_.dueDigests(digestHeader(), BootClock::now());
}

Wire::LoadDigestT Gateway::digestHeader() const
{
    Wire::LoadDigestT header;
    header.daemon = identity_.id;
    header.region = identity_.region;
    header.phase = ownPhase();
    header.config_version = view_->services ? view_->services->version : 0;
    header.unreachable = reach_.unreachable();
    return header;
}

void Gateway::addServiceWaits(Wire::LoadDigestT &digest, SteadyTime now)
{
    if (!view_->services) {
        return;
    }
    const PromptFacts noPrompt;
    for (const auto &[name, spec] : view_->services->services) {
        if (digest.services.size() >= maxDigestServices) {
            break;
        }
        if (reach_.reach(name) != Reach::Whole) {
            // Other daemons of the region tell how it does.
            continue;
        }
        const UpstreamSelection *local = localUpstreams(name);
        const std::vector<const UpstreamRecord *> records
            = local == nullptr ? std::vector<const UpstreamRecord *>{} : local->sample();
        std::vector<UpstreamCandidate> candidates = describe(records, spec, noPrompt, {}, now);
        const std::optional<VersionRule> rule = rollouts_.rule(name);
        excludeOtherVersions(rule, drawArm(rule, mainVersionChance), candidates, records);
        ServiceSummary summary(local == nullptr || records.empty()
                                   ? 1
                                   : static_cast<double>(local->all().size()) / static_cast<double>(records.size()));
        for (const UpstreamCandidate &candidate : candidates) {
            // The capacity of cold upstreams and of those with a limit is reserved for callers of the own region.
            const bool cold = policy_.reserveColdUpstreams && records[candidate.index]->coldUntil > now;
            const bool reserved = cold || candidate.limited;
            if (candidate.exclusionReason == ExclusionReason::None && !reserved) {
                summary.add(candidate);
            }
        }
        digest.services.push_back(summary.toWire(serviceKey(name)));
    }
}

} // namespace Portpaddle
