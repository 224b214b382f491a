// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/placement.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace Portpaddle {

namespace {

// Duration of one engine step, which generates one token for each running request between two prompt chunks. The engines'
// documentation gives 3.2 ms; measured steps grow by some hundredths of a millisecond per request in the batch.
constexpr double decodeStepMs = 3.2;
constexpr double decodeStepMsPerRunning = 0.05;
// The costs of a choice are weighed for engines that prefill 110 tokens in a millisecond with a decode step of 3 ms after each
// 2,048 tokens. A choice between slower engines is between the same shares of their time.
constexpr double nominalMsPerToken = 1.0 / 94;
constexpr double prefillInProgressTokens = 2'000;
// Prefilling fewer tokens takes no longer than setting up a transfer.
constexpr double minFetchedTokens = 256;
// Scores that differ by less than this are a tie; a random choice breaks it, so that daemons with the same data do not all choose
// the same upstream.
constexpr double scoreToleranceMs = 2.0;
// A prediction below this share of the remaining target time counts as safe.
constexpr double safeThreshold = 0.5;

/// Returns the time until memory and a slot are free.
double admissionDelayMs(const UpstreamCandidate &candidate, const PlacementRequest &request)
{
    const double overSlots = std::max(0.0, candidate.running + 1 - candidate.slots);
    double delayMs = overSlots / candidate.slots * candidate.serviceMs;
    if (candidate.memoryTotal > 0) {
        const double overMemory = candidate.memoryUsed + request.memoryTokens - candidate.memoryTotal;
        delayMs = std::max(delayMs, overMemory / candidate.memoryTotal * candidate.serviceMs);
    }
    return std::max(0.0, delayMs);
}

/// Returns the probability that the target is missed: predictions are off by about half either way.
double missProbability(double predictedMs, double remainingTargetMs)
{
    if (remainingTargetMs <= 0) {
        return 1;
    }
    return std::clamp(predictedMs / remainingTargetMs - safeThreshold, 0.0, 1.0);
}

/// Returns the cost to other requests of a prefill where @p kept of the prompt's tokens are cached and each token takes @p
/// msPerToken.
double prefillCost(const PlacementRequest &request, double kept, double msPerToken, double running,
                   const PlacementWeights &weights)
{
    const double prefillMs = std::max(0.0, request.promptTokens - kept) * msPerToken;
    const double repeatedPrefillMs = std::max(0.0, request.sharedTokens - kept) * msPerToken;
    return weights.rereadingShare * repeatedPrefillMs + weights.readingPerRunning * running * prefillMs;
}

/// Returns whether a fetch saves enough tokens to be worth its setup.
bool isWorthFetching(const UpstreamCandidate &candidate)
{
    return candidate.fetchableTokens >= candidate.cachedTokens + minFetchedTokens;
}

/// Ranks how soon an upstream excluded for @p reason may be usable again: never if it is leaving, at a known time if it is
/// backing off, at any time for most other reasons.
int recoveryRank(ExclusionReason reason)
{
    switch (reason) {
    case ExclusionReason::NoCapacity:
    case ExclusionReason::AlreadyTried:
        return 0;
    case ExclusionReason::Leaving:
    case ExclusionReason::VersionAbsent:
        return 1;
    case ExclusionReason::BackingOff:
        return 2;
    case ExclusionReason::UpstreamLimit:
        return 3;
    default:
        return 4;
    }
}

/// Returns which of two reasons to report: the one that leaves more chance of recovery.
ExclusionReason reasonToReport(ExclusionReason before, ExclusionReason reason)
{
    return recoveryRank(reason) >= recoveryRank(before) ? reason : before;
}

/// Returns a random delay of up to @p spreadMs.
double randomDelayMs(double spreadMs, RandomSource &random)
{
    constexpr std::uint64_t steps = 1'024;
    return spreadMs > 0 ? spreadMs * static_cast<double>(random.below(steps)) / static_cast<double>(steps) : 0;
}

/// What choosing a candidate means for the request.
struct Option
{
    Admission admission = Admission::Refused;
    /// Predicted time to the first token, in the class in which the request is admitted.
    double predictedMs = 0;
    double score = 0;
};

struct BestCandidate
{
    /// Index into the span of candidates.
    std::size_t position = 0;
    double score = std::numeric_limits<double>::infinity();
    double predictedMs = 0;
    unsigned tied = 0;
};

/// Keeps the candidate with the lower score; each of several tied candidates is equally likely.
void keepBetter(BestCandidate &best, std::size_t position, const Option &option, RandomSource &random)
{
    if (option.score > best.score + scoreToleranceMs) {
        return;
    }
    const bool better = option.score < best.score - scoreToleranceMs;
    best.tied = better ? 1 : best.tied + 1;
    if (better || random.below(best.tied) == 0) {
        best.position = position;
        best.score = option.score;
        best.predictedMs = option.predictedMs;
    }
}

/// The best candidates of one span, by how they admit the request, and the shortest prediction of those that do not.
struct Shortlist
{
    BestCandidate timely;
    BestCandidate late;
    std::optional<double> refusedMs;

    void add(std::size_t position, const Option &option, RandomSource &random)
    {
        if (option.admission == Admission::Refused) {
            refusedMs = std::min(refusedMs.value_or(option.predictedMs), option.predictedMs);
        } else {
            keepBetter(option.admission == Admission::Timely ? timely : late, position, option, random);
        }
    }
};

/// Returns the factor from times of upstreams with @p tokensPerMs to the scale of the weights.
double weightScale(double tokensPerMs)
{
    return nominalMsPerToken * tokensPerMs;
}

AdmissionTerms termsOf(const PlacementRequest &request, const PlacementWeights &weights)
{
    AdmissionTerms terms;
    // The rest of an answer that has begun is sent on in its class, late or not: a refusal would cut the answer off.
    if (request.answerStarted) {
        return terms;
    }
    terms.targetMs = request.remainingTargetMs;
    terms.firstTokenTimeoutMs = std::min(weights.firstTokenBound * request.targetMs, request.firstTokenTimeoutMs);
    terms.completionTimeoutMs = request.completionTimeoutMs;
    terms.marginMs = request.marginMs;
    return terms;
}

/// Returns the cost to the request itself of a first token after @p predictedMs.
double delayCost(const PlacementRequest &request, double predictedMs, double tokenMs, const PlacementWeights &weights)
{
    return predictedMs + weights.lateMs * missProbability(predictedMs, request.remainingTargetMs)
        + weights.streamingShare * request.tokensOut * tokenMs;
}

Option assess(const PlacementRequest &request, const UpstreamCandidate &candidate, const PlacementWeights &weights,
              RandomSource &random)
{
    PlacementRequest behindOthers = request;
    behindOthers.urgency = request.lateLast ? Urgency::Late : request.urgency;
    const double tokenMs = predictedTokenMs(candidate);
    AdmissionForecast forecast;
    forecast.timelyMs = predictedFirstTokenMs(candidate, request);
    const double msPerToken = candidate.slowness / candidate.tokensPerMs;
    forecast.queueMs = admissionDelayMs(candidate, request) + tokensAhead(candidate, request.urgency) * msPerToken;
    forecast.lateMs = predictedFirstTokenMs(candidate, behindOthers);
    forecast.streamingMs = weights.wholeMargin * request.tokensOut * tokenMs;
    Option option;
    option.admission = decideAdmission(termsOf(request, weights), forecast);
    option.predictedMs = option.admission == Admission::Late ? forecast.lateMs : forecast.timelyMs;
    const double scale = request.promptTokens > 0 ? weightScale(candidate.tokensPerMs) : 1;
    option.score = delayCost(request, option.predictedMs * scale, tokenMs, weights)
        + prefillCost(request, keptTokens(candidate), msPerToken * scale, candidate.running, weights)
        + (isWorthFetching(candidate) ? weights.fetchingShare * candidate.fetchMs : 0)
        + weights.failureMs * candidate.failureShare + (candidate.needsConnection ? weights.connectMs : 0)
        + randomDelayMs(weights.spreadMs, random);
    return option;
}

Option assess(const PlacementRequest &request, const RegionCandidate &candidate, const PlacementWeights &weights)
{
    const double ownPrefillMs = std::max(0.0, request.promptTokens - candidate.cachedTokens) / candidate.tokensPerMs;
    const double fixedMs = candidate.distanceMs + ownPrefillMs + (request.promptTokens > 0 ? candidate.fixedMs : 0);
    AdmissionForecast forecast;
    forecast.timelyMs = candidate.waitMs + fixedMs;
    forecast.queueMs = candidate.waitMs;
    forecast.lateMs = candidate.lateWaitMs + fixedMs;
    forecast.streamingMs = weights.wholeMargin * request.tokensOut * candidate.tokenMs;
    Option option;
    option.admission = decideAdmission(termsOf(request, weights), forecast);
    option.predictedMs = option.admission == Admission::Late ? forecast.lateMs : forecast.timelyMs;
    const double scale = request.promptTokens > 0 ? weightScale(candidate.tokensPerMs) : 1;
    const double workMs = (option.predictedMs - candidate.distanceMs) * scale + candidate.distanceMs;
    option.score = delayCost(request, workMs, candidate.tokenMs, weights) + weights.awayMs
        + prefillCost(request, candidate.cachedTokens, scale / candidate.tokensPerMs, candidate.running, weights);
    return option;
}

} // namespace

double tokensAhead(const UpstreamCandidate &candidate, Urgency urgency)
{
    double tokens = 0;
    for (std::size_t level = 0; level < urgencyCount; ++level) {
        const bool before = level <= static_cast<std::size_t>(urgency);
        // A prefill in progress is finished first, whatever its urgency.
        tokens
            += before ? candidate.pendingTokens.at(level) : std::min(candidate.pendingTokens.at(level), prefillInProgressTokens);
    }
    return tokens;
}

double keptTokens(const UpstreamCandidate &candidate)
{
    return std::max(candidate.cachedTokens, candidate.fetchableTokens);
}

double predictedFirstTokenMs(const UpstreamCandidate &candidate, const PlacementRequest &request)
{
    const double ownTokens = std::max(0.0, request.promptTokens - keptTokens(candidate));
    const double fetchDelayMs = isWorthFetching(candidate) ? candidate.fetchMs : 0;
    const double prefillMs = (tokensAhead(candidate, request.urgency) + ownTokens) / candidate.tokensPerMs;
    const double fixedMs = request.promptTokens > 0 ? candidate.fixedMs : 0;
    return admissionDelayMs(candidate, request) + fetchDelayMs + candidate.slowness * (fixedMs + prefillMs);
}

double predictedTokenMs(const UpstreamCandidate &candidate)
{
    return std::max(candidate.tokenMs, decodeStepMs + decodeStepMsPerRunning * candidate.running);
}

namespace {

void chooseUpstream(Placement &placement, const PlacementRequest &request, const UpstreamCandidate &chosen, double predictedMs)
{
    placement.verdict = Verdict::Serve;
    placement.index = chosen.index;
    placement.predictedMs = predictedMs;
    placement.keptTokens = keptTokens(chosen);
    placement.queuedTokens = tokensAhead(chosen, placement.urgency);
    placement.prefillTokens = std::max(0.0, request.promptTokens - placement.keptTokens);
    placement.running = chosen.running;
    placement.fetches = isWorthFetching(chosen);
}

/// Returns the placement at the better of two candidates; a refusal if there is neither.
Placement chooseBetter(const PlacementRequest &request, Admission admission, const BestCandidate &local,
                       std::span<const UpstreamCandidate> upstreams, const BestCandidate &remote,
                       std::span<const RegionCandidate> regions)
{
    Placement placement;
    placement.remainingTargetMs = request.remainingTargetMs;
    placement.urgency = admission == Admission::Late && request.lateLast ? Urgency::Late : request.urgency;
    placement.admission = admission;
    if (local.tied > 0 && (remote.tied == 0 || local.score <= remote.score)) {
        chooseUpstream(placement, request, upstreams[local.position], local.predictedMs);
    } else if (remote.tied > 0) {
        placement.verdict = Verdict::Forward;
        placement.index = regions[remote.position].index;
        placement.predictedMs = remote.predictedMs;
    }
    return placement;
}

} // namespace

Placement place(const PlacementRequest &request, std::span<const UpstreamCandidate> upstreams,
                std::span<const RegionCandidate> regions, const PlacementWeights &weights, RandomSource &random)
{
    ExclusionReason reason = ExclusionReason::NoCapacity;
    Shortlist local;
    for (std::size_t position = 0; position < upstreams.size(); ++position) {
        const UpstreamCandidate &candidate = upstreams[position];
        if (candidate.exclusionReason == ExclusionReason::None) {
            local.add(position, assess(request, candidate, weights, random), random);
        } else {
            reason = reasonToReport(reason, candidate.exclusionReason);
        }
    }
    Shortlist remote;
    for (std::size_t position = 0; position < regions.size(); ++position) {
        remote.add(position, assess(request, regions[position], weights), random);
    }
    const Placement timely = chooseBetter(request, Admission::Timely, local.timely, upstreams, remote.timely, regions);
    if (timely.verdict != Verdict::Refuse) {
        return timely;
    }
    const Placement late = chooseBetter(request, Admission::Late, local.late, upstreams, remote.late, regions);
    if (late.verdict != Verdict::Refuse) {
        return late;
    }
    Placement refused;
    refused.remainingTargetMs = request.remainingTargetMs;
    refused.urgency = request.urgency;
    refused.reason = local.refusedMs || remote.refusedMs ? ExclusionReason::TooLate : reason;
    constexpr double never = std::numeric_limits<double>::infinity();
    const double shortestMs = std::min(local.refusedMs.value_or(never), remote.refusedMs.value_or(never));
    refused.predictedMs = shortestMs < never ? shortestMs : 0;
    return refused;
}

} // namespace Portpaddle
