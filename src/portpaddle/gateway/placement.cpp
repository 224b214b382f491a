// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/placement.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace Portpaddle {

namespace {

// Between two pieces of a prompt an engine makes one token for each running request; the page of the engines gives 3.2 ms for a
// step and measured steps grow by some hundredths of a millisecond for each request in the batch.
constexpr double stepMs = 3.2;
constexpr double stepMsPerRunning = 0.05;
// Prompt tokens read between two steps; engines read prompts in pieces of about this size.
constexpr double tokensPerStep = 2'048;
// From the last piece of a prompt to its first token, whatever the load; seen on idle engines.
constexpr double firstTokenMs = 45;
constexpr double tokensInProgress = 2'000;
// Reading fewer tokens takes no longer than setting up a transfer.
constexpr double fewestFetchedTokens = 256;
constexpr NameTable<Urgency, urgencyCount> urgencyNames{ { "urgent", "usual", "patient", "late" } };
// A prediction beyond this part of what is left of the target is taken as a miss.
constexpr double surelyLate = 1.3;
// Candidates closer than this are equal; chance decides, so that daemons that see the same do not all choose the same.
constexpr double sameMs = 2.0;
// A prediction below this part of what is left of the target is taken as safe.
constexpr double surelyInTime = 0.5;

/// Time until memory and a slot are free.
double admissionMs(const UpstreamCandidate &candidate, const PlacementRequest &request)
{
    const double overSlots = std::max(0.0, candidate.running + 1 - candidate.slots);
    double waits = overSlots / candidate.slots * candidate.serviceMs;
    if (candidate.memoryTotal > 0) {
        const double overMemory = candidate.memoryUsed + request.memoryTokens - candidate.memoryTotal;
        waits = std::max(waits, overMemory / candidate.memoryTotal * candidate.serviceMs);
    }
    return std::max(0.0, waits);
}

/// How likely the target is missed: predictions are off by about half either way.
double lateness(double predictedMs, double targetLeftMs)
{
    if (targetLeftMs <= 0) {
        return 1;
    }
    return std::clamp(predictedMs / targetLeftMs - surelyInTime, 0.0, 1.0);
}

/// What reading a prompt costs others, where @p kept of its tokens need not be read and one takes @p msPerToken.
double readingCost(const PlacementRequest &request, double kept, double msPerToken, double running,
                   const PlacementWeights &weights)
{
    const double readMs = std::max(0.0, request.promptTokens - kept) * msPerToken;
    const double rereadMs = std::max(0.0, request.sharedTokens - kept) * msPerToken;
    return weights.rereadingShare * rereadMs + weights.readingPerRunning * running * readMs;
}

/// Fetching saves enough tokens to be asked for.
bool fetches(const UpstreamCandidate &candidate)
{
    return candidate.fetchableTokens >= candidate.cachedTokens + fewestFetchedTokens;
}

/// Whether a request that is predicted so would end after its caller has left.
bool isHopeless(const PlacementRequest &request, double firstMs, double tokenMs, const PlacementWeights &weights)
{
    if (request.begun) {
        return false;
    }
    const double wholeMs = firstMs + weights.wholeMargin * request.tokensOut * tokenMs;
    return firstMs > std::min(weights.firstTokenBound * request.targetMs, request.firstTokenBoundMs)
        || wholeMs > request.wholeBoundMs;
}

/// How much a reason leaves to hope for: an upstream that leaves never returns, one that asked for time does so at a known
/// moment, and most others may be ready at any.
int hopeOf(ExclusionReason reason)
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

/// What to tell of two reasons.
ExclusionReason barredBy(ExclusionReason before, ExclusionReason reason)
{
    return hopeOf(reason) >= hopeOf(before) ? reason : before;
}

/// A random delay of up to @p spreadMs.
double blur(double spreadMs, RandomSource &random)
{
    constexpr std::uint64_t steps = 1'024;
    return spreadMs > 0 ? spreadMs * static_cast<double>(random.below(steps)) / static_cast<double>(steps) : 0;
}

struct Best
{
    /// In the list of candidates.
    std::size_t position = 0;
    double score = std::numeric_limits<double>::infinity();
    double predictedMs = 0;
    unsigned equals = 0;
};

/// Keeps the better one; among equals each is as likely.
void consider(Best &best, std::size_t position, double score, double predictedMs, RandomSource &random)
{
    if (score > best.score + sameMs) {
        return;
    }
    const bool better = score < best.score - sameMs;
    best.equals = better ? 1 : best.equals + 1;
    if (better || random.below(best.equals) == 0) {
        best.position = position;
        best.score = score;
        best.predictedMs = predictedMs;
    }
}

} // namespace

std::string_view nameOf(Urgency urgency)
{
    return urgencyNames[urgency];
}

Urgency urgencyOfRank(unsigned rank)
{
    constexpr auto last = static_cast<unsigned>(Urgency::Patient);
    return static_cast<Urgency>(std::min(rank, last));
}

double tokensAhead(const UpstreamCandidate &candidate, Urgency urgency)
{
    double tokens = 0;
    for (std::size_t level = 0; level < urgencyCount; ++level) {
        const bool before = level <= static_cast<std::size_t>(urgency);
        // What is being read already is finished first, whatever its urgency.
        tokens += before ? candidate.pendingTokens.at(level) : std::min(candidate.pendingTokens.at(level), tokensInProgress);
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
    const double fetching = fetches(candidate) ? candidate.fetchMs : 0;
    const double ahead = tokensAhead(candidate, request.urgency);
    const double reading = (ahead + ownTokens) / candidate.tokensPerMs;
    const double steps = 1 + (ahead + ownTokens) / tokensPerStep;
    const double perStep = stepMs + stepMsPerRunning * candidate.running;
    const double fixed = request.promptTokens > 0 ? firstTokenMs : 0;
    return fixed + admissionMs(candidate, request) + fetching + candidate.slowness * (reading + steps * perStep);
}

double predictedTokenMs(const UpstreamCandidate &candidate)
{
    return std::max(candidate.tokenMs, stepMs + stepMsPerRunning * candidate.running);
}

Placement place(const PlacementRequest &request, std::span<const UpstreamCandidate> upstreams,
                std::span<const RegionCandidate> regions, const PlacementWeights &weights, RandomSource &random)
{
    Best local;
    ExclusionReason exclusionReason = ExclusionReason::NoCapacity;
    for (const UpstreamCandidate &candidate : upstreams) {
        if (candidate.exclusionReason != ExclusionReason::None) {
            exclusionReason = barredBy(exclusionReason, candidate.exclusionReason);
            continue;
        }
        const double predicted = predictedFirstTokenMs(candidate, request);
        const double tokenMs = predictedTokenMs(candidate);
        if (isHopeless(request, predicted, tokenMs, weights)) {
            exclusionReason = ExclusionReason::TooLate;
            continue;
        }
        const double msPerToken = candidate.slowness / candidate.tokensPerMs;
        const double score = predicted + readingCost(request, keptTokens(candidate), msPerToken, candidate.running, weights)
            + (fetches(candidate) ? weights.fetchingShare * candidate.fetchMs : 0) + weights.failureMs * candidate.failureShare
            + weights.lateMs * lateness(predicted, request.targetLeftMs) + (candidate.needsConnection ? weights.connectMs : 0)
            + weights.streamingShare * request.tokensOut * tokenMs + blur(weights.spreadMs, random);
        consider(local, static_cast<std::size_t>(&candidate - upstreams.data()), score, predicted, random);
    }
    Best away;
    for (const RegionCandidate &candidate : regions) {
        const double ownReading = std::max(0.0, request.promptTokens - candidate.cachedTokens) / candidate.tokensPerMs;
        const double predicted = candidate.waitMs + candidate.distanceMs + ownReading + firstTokenMs;
        if (isHopeless(request, predicted, candidate.tokenMs, weights)) {
            exclusionReason = ExclusionReason::TooLate;
            continue;
        }
        const double score = predicted + weights.awayMs
            + readingCost(request, candidate.cachedTokens, 1 / candidate.tokensPerMs, candidate.running, weights)
            + weights.lateMs * lateness(predicted, request.targetLeftMs)
            + weights.streamingShare * request.tokensOut * candidate.tokenMs;
        consider(away, static_cast<std::size_t>(&candidate - regions.data()), score, predicted, random);
    }
    Placement placement;
    placement.reason = exclusionReason;
    if (local.equals > 0 && (away.equals == 0 || local.score <= away.score)) {
        placement.verdict = Verdict::Serve;
        const UpstreamCandidate &chosen = upstreams[local.position];
        placement.index = chosen.index;
        placement.predictedMs = local.predictedMs;
        placement.keptTokens = keptTokens(chosen);
        placement.fetches = fetches(chosen);
    } else if (away.equals > 0) {
        placement.verdict = Verdict::Forward;
        placement.index = regions[away.position].index;
        placement.predictedMs = away.predictedMs;
    }
    const bool late = request.lateLast && placement.predictedMs > surelyLate * request.targetLeftMs;
    placement.urgency = late ? Urgency::Late : request.urgency;
    return placement;
}

} // namespace Portpaddle
