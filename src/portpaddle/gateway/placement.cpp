// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/placement.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace Portpaddle {

namespace {

// Duration of one engine step, which generates one token for each running request between two prompt chunks. The engines'
// documentation gives 3.2 ms; measured steps grow by some hundredths of a millisecond per request in the batch.
constexpr double decodeStepMs = 3.2;
constexpr double decodeStepMsPerRunning = 0.05;
// Prompt tokens prefilled between two steps; engines prefill prompts in chunks of about this size.
constexpr double prefillChunkTokens = 2'048;
// Time from the last chunk of a prompt to its first token, whatever the load; measured on idle engines.
constexpr double firstTokenMs = 45;
constexpr double prefillInProgressTokens = 2'000;
// Prefilling fewer tokens takes no longer than setting up a transfer.
constexpr double minFetchedTokens = 256;
// A prediction above this multiple of the remaining target time counts as a miss.
constexpr double missThreshold = 1.3;
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

/// Returns whether a request with these predictions would end after its caller has left.
bool isTooLate(const PlacementRequest &request, double firstMs, double tokenMs, const PlacementWeights &weights)
{
    if (request.answerStarted) {
        return false;
    }
    const double wholeMs = firstMs + weights.wholeMargin * request.tokensOut * tokenMs;
    return firstMs > std::min(weights.firstTokenBound * request.targetMs, request.firstTokenTimeoutMs)
        || wholeMs > request.completionTimeoutMs;
}

/// Ranks how soon an upstream excluded for @p reason may be usable again: never if it is leaving, at a known time if it is
/// backing off, at any time for most other reasons.
int recoveryRank(ExclusionReason reason)
{
    switch (reason) {
    case ExclusionReason::NoCapacity:
        return 0;
    case ExclusionReason::Leaving:
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

struct BestCandidate
{
    /// Index into the span of candidates.
    std::size_t position = 0;
    double score = std::numeric_limits<double>::infinity();
    double predictedMs = 0;
    unsigned tied = 0;
};

/// Keeps the candidate with the lower score; each of several tied candidates is equally likely.
void keepBetter(BestCandidate &best, std::size_t position, double score, double predictedMs, RandomSource &random)
{
    if (score > best.score + scoreToleranceMs) {
        return;
    }
    const bool better = score < best.score - scoreToleranceMs;
    best.tied = better ? 1 : best.tied + 1;
    if (better || random.below(best.tied) == 0) {
        best.position = position;
        best.score = score;
        best.predictedMs = predictedMs;
    }
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
    const double ahead = tokensAhead(candidate, request.urgency);
    const double totalPrefillMs = (ahead + ownTokens) / candidate.tokensPerMs;
    const double decodeSteps = 1 + (ahead + ownTokens) / prefillChunkTokens;
    const double msPerStep = decodeStepMs + decodeStepMsPerRunning * candidate.running;
    const double fixedMs = request.promptTokens > 0 ? firstTokenMs : 0;
    return fixedMs + admissionDelayMs(candidate, request) + fetchDelayMs
        + candidate.slowness * (totalPrefillMs + decodeSteps * msPerStep);
}

double predictedTokenMs(const UpstreamCandidate &candidate)
{
    return std::max(candidate.tokenMs, decodeStepMs + decodeStepMsPerRunning * candidate.running);
}

Placement place(const PlacementRequest &request, std::span<const UpstreamCandidate> upstreams,
                std::span<const RegionCandidate> regions, const PlacementWeights &weights, RandomSource &random)
{
    BestCandidate local;
    ExclusionReason exclusionReason = ExclusionReason::NoCapacity;
    for (const UpstreamCandidate &candidate : upstreams) {
        if (candidate.exclusionReason != ExclusionReason::None) {
            exclusionReason = reasonToReport(exclusionReason, candidate.exclusionReason);
            continue;
        }
        const double predicted = predictedFirstTokenMs(candidate, request);
        const double tokenMs = predictedTokenMs(candidate);
        if (isTooLate(request, predicted, tokenMs, weights)) {
            exclusionReason = ExclusionReason::TooLate;
            continue;
        }
        const double msPerToken = candidate.slowness / candidate.tokensPerMs;
        const double score = predicted + prefillCost(request, keptTokens(candidate), msPerToken, candidate.running, weights)
            + (isWorthFetching(candidate) ? weights.fetchingShare * candidate.fetchMs : 0)
            + weights.failureMs * candidate.failureShare + weights.lateMs * missProbability(predicted, request.remainingTargetMs)
            + (candidate.needsConnection ? weights.connectMs : 0) + weights.streamingShare * request.tokensOut * tokenMs
            + randomDelayMs(weights.spreadMs, random);
        keepBetter(local, static_cast<std::size_t>(&candidate - upstreams.data()), score, predicted, random);
    }
    BestCandidate remote;
    for (const RegionCandidate &candidate : regions) {
        const double ownPrefillMs = std::max(0.0, request.promptTokens - candidate.cachedTokens) / candidate.tokensPerMs;
        const double predicted = candidate.waitMs + candidate.distanceMs + ownPrefillMs + firstTokenMs;
        if (isTooLate(request, predicted, candidate.tokenMs, weights)) {
            exclusionReason = ExclusionReason::TooLate;
            continue;
        }
        const double score = predicted + weights.awayMs
            + prefillCost(request, candidate.cachedTokens, 1 / candidate.tokensPerMs, candidate.running, weights)
            + weights.lateMs * missProbability(predicted, request.remainingTargetMs)
            + weights.streamingShare * request.tokensOut * candidate.tokenMs;
        keepBetter(remote, static_cast<std::size_t>(&candidate - regions.data()), score, predicted, random);
    }
    Placement placement;
    placement.remainingTargetMs = request.remainingTargetMs;
    placement.reason = exclusionReason;
    if (local.tied > 0 && (remote.tied == 0 || local.score <= remote.score)) {
        placement.verdict = Verdict::Serve;
        const UpstreamCandidate &chosen = upstreams[local.position];
        placement.index = chosen.index;
        placement.predictedMs = local.predictedMs;
        placement.keptTokens = keptTokens(chosen);
        placement.queuedTokens = tokensAhead(chosen, request.urgency);
        placement.prefillTokens = std::max(0.0, request.promptTokens - placement.keptTokens);
        placement.running = chosen.running;
        placement.fetches = isWorthFetching(chosen);
    } else if (remote.tied > 0) {
        placement.verdict = Verdict::Forward;
        placement.index = regions[remote.position].index;
        placement.predictedMs = remote.predictedMs;
    }
    const bool late = request.lateLast && placement.predictedMs > missThreshold * request.remainingTargetMs;
    placement.urgency = late ? Urgency::Late : request.urgency;
    return placement;
}

} // namespace Portpaddle
