// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Choice of a target: collects the candidate upstreams and regions and chooses between them.

#include "portpaddle/base/metrics.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/version_filter.h"
#include "portpaddle/placement/prefix_affinity.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/streams/fetch_offers.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Minimum share of an upstream's connections. More connections than the running requests of a daemon's share bring nothing.
constexpr std::size_t minConnections = 4;
// Callers refused during a back-off are told to return spread over this share of the time that was left.
constexpr double retrySpread = 0.5;
// With fewer usable upstreams in its subset, a daemon considers all of the region.
constexpr std::ptrdiff_t minUsableOfSubset = 8;

/// Subtracts the mean failure share from each candidate: requests that fail wherever they run say nothing about the upstream, and
/// sending them to another region adds a round trip.
void compareFailures(std::vector<UpstreamCandidate> &candidates)
{
    double sum = 0;
    for (const UpstreamCandidate &candidate : candidates) {
        sum += candidate.failureShare;
    }
    for (UpstreamCandidate &candidate : candidates) {
        candidate.failureShare = std::max(0.0, candidate.failureShare - sum / static_cast<double>(candidates.size()));
    }
}

double millisLeft(SteadyTime until, SteadyTime now)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(until - now).count());
}

} // namespace

bool Gateway::ChoiceContext::allowsRegion(std::string_view region) const
{
    return route.allowsRegion(region) && (organisation == nullptr || organisation->allowsRegion(region));
}

std::size_t Gateway::connectionShare(const ServiceSpec &spec) const
{
    return std::max<std::size_t>(minConnections, spec.connectionLimit / sharingDaemonCount());
}

ExclusionReason Gateway::exclusionReasonOf(const UpstreamRecord &upstream, const ServiceSpec &spec, SteadyTime now)
{
    if (!view_->takesRequests(upstream)) {
        return ExclusionReason::Leaving;
    }
    const ExclusionReason noticed = notices_.exclusionReason(upstream.id, now);
    if (noticed != ExclusionReason::None) {
        return noticed;
    }
    if (!reach_.reaches(upstream)) {
        return ExclusionReason::Unreachable;
    }
    if (places_.seemsFull(upstream.id, now)) {
        return ExclusionReason::Full;
    }
    if (pool_.idle(upstream.id) == 0 && pool_.open(upstream.id) >= connectionShare(spec)) {
        return ExclusionReason::Full;
    }
    if (upstream.coldUntil > now && spec.coldPerSecond > 0) {
        const bool owner = owners_.owns(stableHash(upstream.id), now);
        if (!coldGate_.allows(upstream.id, spec.coldPerSecond, owner, now)) {
            return ExclusionReason::ShareSpent;
        }
    }
    return upstreamLimits_.allows(upstream.id, now) ? ExclusionReason::None : ExclusionReason::UpstreamLimit;
}

Gateway::ActiveUpstreams Gateway::activeUpstreams(const std::string &service, SteadyTime now)
{
    ActiveUpstreams upstreams;
    const UpstreamSelection *local = localUpstreams(service);
    if (local == nullptr) {
        return upstreams;
    }
    for (const UpstreamRecord *upstream : local->all()) {
        const ExclusionReason exclusionReason
            = view_->takesRequests(*upstream) ? notices_.exclusionReason(upstream->id, now) : ExclusionReason::Leaving;
        if (exclusionReason == ExclusionReason::BackingOff) {
            upstreams.backingOff.push_back(&upstream->id);
        } else if (exclusionReason == ExclusionReason::None) {
            upstreams.others.push_back(&upstream->id);
        }
    }
    return upstreams;
}

bool Gateway::allBackingOff(const std::string &service, SteadyTime now)
{
    const ActiveUpstreams upstreams = activeUpstreams(service, now);
    return upstreams.others.empty() && !upstreams.backingOff.empty();
}

std::optional<SteadyTime::duration> Gateway::timeUntilRoom(const std::string &service, SteadyTime now)
{
    const ActiveUpstreams upstreams = activeUpstreams(service, now);
    const auto waiting = waitingRequests_.find(service);
    const std::size_t ahead = waiting == waitingRequests_.end() ? 0 : waiting->second;
    const std::optional<SteadyTime::duration> turn = upstreamLimits_.nextSendDelay(upstreams.others, ahead, now);
    const std::optional<SteadyTime::duration> backoffEnd = notices_.earliestBackoffEnd(upstreams.backingOff, now);
    return turn && backoffEnd ? std::min(turn, backoffEnd) : turn ? turn : backoffEnd;
}

SteadyTime::duration Gateway::suggestedRetryDelay(const std::string &service, SteadyTime now)
{
    const ActiveUpstreams upstreams = activeUpstreams(service, now);
    const SteadyTime::duration interval = upstreamLimits_.interval(upstreams.others, now).value_or(SteadyTime::duration::zero());
    const SteadyTime::duration room = timeUntilRoom(service, now).value_or(interval);
    const bool endsBackoff = notices_.earliestBackoffEnd(upstreams.backingOff, now) == room;
    const auto spread = random_.fraction() * (endsBackoff ? retrySpread * room : 1.0 * interval);
    return room + std::chrono::duration_cast<SteadyTime::duration>(spread);
}

const FirstTokenModel &Gateway::modelOf(const std::string &service) const
{
    static const FirstTokenModel initial;
    return policy_.learnedSlowness ? models_.model(service) : initial;
}

std::vector<UpstreamCandidate> Gateway::describe(const std::vector<const UpstreamRecord *> &records, const ServiceSpec &spec,
                                                 const PromptFacts &prompt, const std::vector<std::string> &tried, SteadyTime now)
{
    std::vector<UpstreamCandidate> candidates;
    candidates.reserve(records.size());
    const FirstTokenModel &model = modelOf(spec.name);
    for (const UpstreamRecord *record : records) {
        const std::string &id = record->id;
        UpstreamCandidate candidate = loads_.describe(*record, spec, prompt, now);
        candidate.index = static_cast<std::uint32_t>(candidates.size());
        candidate.fixedMs = model.fixedMs();
        candidate.tokensPerMs = 1 / model.msPerToken();
        candidate.slowness = model.slowness(upstreamKey(id), now);
        candidate.needsConnection = pool_.idle(id) == 0;
        candidate.limited = upstreamLimits_.isLimited(id, now);
        candidate.reported = reportedLoads_.latest(id, now);
        const ExclusionReason exclusionReason = exclusionReasonOf(*record, spec, now);
        // An upstream to which no connection could be opened was not tried by the daemons that reach it.
        const bool unreachable = exclusionReason == ExclusionReason::Unreachable;
        if (!unreachable && std::find(tried.begin(), tried.end(), id) != tried.end()) {
            candidate.exclusionReason = ExclusionReason::AlreadyTried;
        } else if (exclusionReason != ExclusionReason::None) {
            candidate.exclusionReason = exclusionReason;
        }
        candidates.push_back(candidate);
    }
    compareFailures(candidates);
    return candidates;
}

void Gateway::excludeWhereItRan(const ChoiceContext &context, std::vector<UpstreamCandidate> &candidates,
                                const std::vector<const UpstreamRecord *> &records)
{
    if (context.ranAt.empty()) {
        return;
    }
    for (UpstreamCandidate &candidate : candidates) {
        const std::uint32_t key = upstreamKey(records[candidate.index]->id);
        if (std::find(context.ranAt.begin(), context.ranAt.end(), key) != context.ranAt.end()) {
            candidate.exclusionReason = ExclusionReason::AlreadyTried;
        }
    }
}

std::vector<UpstreamCandidate> Gateway::localCandidates(const CallerRequest &request, const ChoiceContext &context,
                                                        const ServiceSpec &spec, std::vector<const UpstreamRecord *> &records,
                                                        SteadyTime now)
{
    const UpstreamSelection *local = localUpstreams(context.service);
    if (local == nullptr) {
        return {};
    }
    records = local->considered(request.prompt);
    std::vector<UpstreamCandidate> candidates = describe(records, spec, request.prompt, context.tried, now);
    excludeWhereItRan(context, candidates, records);
    excludeVersions(context, candidates, records, now);
    const auto usable = std::count_if(candidates.begin(), candidates.end(), [](const UpstreamCandidate &candidate) {
        return candidate.exclusionReason == ExclusionReason::None;
    });
    // The own subset may be evacuated, cut off or of another version as a whole.
    if (!local->isWhole() && usable < minUsableOfSubset) {
        records = local->all();
        candidates = describe(records, spec, request.prompt, context.tried, now);
        excludeWhereItRan(context, candidates, records);
        excludeVersions(context, candidates, records, now);
    }
    return candidates;
}

// A request that another daemon forwarded is not forwarded again, so that two daemons never send it back and forth.
const DaemonRecord *Gateway::relayBeside(const CallerRequest &request, const ChoiceContext &context,
                                         std::vector<UpstreamCandidate> &upstreams, SteadyTime now)
{
    const bool isCutOff = reach_.reach(context.service) != Reach::Whole;
    if (!isCutOff || request.relayed) {
        return nullptr;
    }
    const DaemonRecord *daemon = regions_.pick(*view_, identity_.region, context.service, context.tried, now, random_);
    if (daemon == nullptr) {
        return nullptr;
    }
    for (UpstreamCandidate &upstream : upstreams) {
        if (upstream.exclusionReason == ExclusionReason::Unreachable) {
            upstream.exclusionReason = ExclusionReason::None;
            upstream.needsConnection = true;
        }
    }
    return daemon;
}

void Gateway::applyPrefixAffinity(const PromptFacts &prompt, const std::string &service,
                                  std::vector<UpstreamCandidate> &upstreams, const std::vector<const UpstreamRecord *> &records,
                                  std::vector<RegionCandidate> &regions, const std::vector<std::string> &regionNames)
{
    const UpstreamSelection *local = localUpstreams(service);
    const bool whole = local == nullptr || local->isWhole();
    const std::vector<const UpstreamRecord *> homes = whole ? std::vector<const UpstreamRecord *>{} : local->homes(prompt);
    std::vector<AffinityUpstream> affinityUpstreams;
    std::size_t usable = 0;
    for (UpstreamCandidate &upstream : upstreams) {
        if (upstream.exclusionReason != ExclusionReason::None || upstream.limited) {
            continue;
        }
        ++usable;
        const UpstreamRecord *record = records[upstream.index];
        if (whole || std::find(homes.begin(), homes.end(), record) != homes.end()) {
            affinityUpstreams.push_back({ &upstream, upstreamKey(record->id) });
        }
    }
    const std::size_t ownUpstreams = whole ? usable : usable * local->all().size() / std::max<std::size_t>(1, upstreams.size());
    std::vector<AffinityRegion> affinityRegions{ { nullptr, stableHash(identity_.region), static_cast<double>(ownUpstreams) } };
    for (RegionCandidate &region : regions) {
        affinityRegions.push_back({ &region, stableHash(regionNames[region.index]), region.upstreams });
    }
    Portpaddle::applyPrefixAffinity(prompt, affinityRegions, std::move(affinityUpstreams));
}

Target Gateway::propose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now)
{
    Target target = proposeArm(request, context, now);
    const bool found = target.upstream || target.daemon;
    const std::optional<VersionArm> fallback = found ? std::nullopt : fallbackArm(context.versionRule, context.arm);
    if (!fallback) {
        return target;
    }
    ChoiceContext other = context;
    other.arm = *fallback;
    return proposeArm(request, other, now);
}

Target Gateway::choose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now)
{
    Target target = propose(request, context, now);
    if (target.upstream && target.upstream->coldUntil > now) {
        coldGate_.take(target.upstream->id, now);
    }
    if (target.upstream) {
        upstreamLimits_.take(target.upstream->id, now);
    }
    if (target.daemon && target.daemon->region == identity_.region) {
        metrics_.count(Counter::SentBeside);
    } else if (target.daemon) {
        regions_.recordForwarded(target.daemon->region, context.service, request.prompt, now);
    }
    return target;
}

Target Gateway::proposeArm(const CallerRequest &request, const ChoiceContext &context, SteadyTime now)
{
    const Route &route = context.route;
    const std::vector<std::string> &tried = context.tried;
    const double timeLeftMs = millisLeft(context.deadline, now);
    Target target;
    const ServiceSpec *spec = view_->services ? view_->services->service(context.service) : nullptr;
    if (spec == nullptr) {
        return target;
    }
    target.spec = std::shared_ptr<const ServiceSpec>(view_->services, spec);
    PlacementRequest facts;
    facts.urgency = context.urgency;
    facts.promptTokens = request.prompt.promptTokens;
    facts.sharedTokens = request.prompt.sharedTokens();
    facts.memoryTokens = request.prompt.promptTokens + request.prompt.maxTokensOut;
    const double tokensSeen = static_cast<double>(context.eventsSeen) * spec->tokensPerEvent;
    facts.tokensOut = std::max(0.0, request.prompt.expectedTokensOut - tokensSeen);
    facts.answerStarted = context.eventsSeen > 0;
    facts.firstTokenTimeoutMs = std::min(timeLeftMs, millisLeft(request.arrivedAt + route.firstEventTimeout(), now));
    facts.completionTimeoutMs = std::min(timeLeftMs, millisLeft(context.completionDeadline, now));
    facts.marginMs = spec->isModelEngine() ? modelOf(context.service).marginMs(context.urgency) : 0;
    facts.lateLast = policy_.lateLast;
    facts.targetMs = static_cast<double>(route.targetLatency.count());
    facts.remainingTargetMs = millisLeft(request.arrivedAt + route.targetLatency, now);

    std::vector<const UpstreamRecord *> records;
    std::vector<UpstreamCandidate> upstreams;
    if (context.allowsRegion(identity_.region)) {
        upstreams = localCandidates(request, context, *spec, records, now);
    }
    const DaemonRecord *beside = context.ownRegionOnly ? nullptr : relayBeside(request, context, upstreams, now);
    std::vector<std::string> regionNames;
    std::vector<RegionCandidate> regions;
    // A request in the trial of a new version stays here: another region draws the version of what is forwarded anew.
    const bool inTrial = context.arm == VersionArm::Newer && context.versionRule && context.versionRule->share < 1;
    if (!request.relayed && !inTrial && !context.ownRegionOnly) {
        regions = regions_.candidates(context.service, *spec, request.prompt, facts.urgency, now, regionNames);
        std::erase_if(regions, [&](const RegionCandidate &candidate) {
            const std::string &region = regionNames[candidate.index];
            return !context.allowsRegion(region) || std::find(tried.begin(), tried.end(), region) != tried.end()
                || regions_.pick(*view_, region, context.service, tried, now, random_) == nullptr;
        });
        passOverOlderRegions(regions, regionNames, context, now);
        for (RegionCandidate &candidate : regions) {
            candidate.fixedMs = modelOf(context.service).fixedMs();
        }
    }
    const FetchSources sources = policy_.fetching ? offerFetching(*spec, upstreams, records) : FetchSources{};
    if (policy_.prefixAffinity) {
        applyPrefixAffinity(request.prompt, context.service, upstreams, records, regions, regionNames);
    }
    PlacementWeights weights = policy_.weights;
    // The spread keeps apart the daemons that choose between the same upstreams.
    const UpstreamSelection *local = localUpstreams(context.service);
    weights.spreadMs *= (regions_.daemonsInOwnRegion() - 1) * (local == nullptr ? 1 : local->consideredShare());
    target.placement = place(facts, upstreams, regions, weights, random_);
    if (target.placement.verdict == Verdict::Refuse && target.placement.reason == ExclusionReason::Unhealthy) {
        // All remaining upstreams look unhealthy: the best of them is still better than none.
        for (UpstreamCandidate &candidate : upstreams) {
            candidate.exclusionReason
                = candidate.exclusionReason == ExclusionReason::Unhealthy ? ExclusionReason::None : candidate.exclusionReason;
        }
        target.placement = place(facts, upstreams, regions, weights, random_);
    }
    if (target.placement.verdict == Verdict::Serve && beside != nullptr && !reach_.reaches(*records[target.placement.index])) {
        target.placement.verdict = Verdict::Forward;
        target.daemon = *beside;
    } else if (target.placement.verdict == Verdict::Serve) {
        target.upstream = *records[target.placement.index];
        if (target.placement.fetches) {
            target.fetchFrom = sources.at(fetchGroupOf(*target.upstream));
        }
    } else if (target.placement.verdict == Verdict::Forward) {
        const std::string &region = regionNames[target.placement.index];
        const DaemonRecord *daemon = regions_.pick(*view_, region, context.service, tried, now, random_);
        target.daemon = *daemon;
    }
    return target;
}

} // namespace Portpaddle
