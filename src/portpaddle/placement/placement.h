// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Chooses the upstream or region for a request: a pure function of the known state of upstreams and other regions.
#pragma once

#include "portpaddle/admission/admission.h"
#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/upstream_reports/reported_load.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>

namespace Portpaddle {

/// Prompt tokens that are still to be prefilled, by urgency.
using PendingTokens = std::array<double, urgencyCount>;

/// State of one upstream of the own region. Times in milliseconds.
struct UpstreamCandidate
{
    std::uint32_t index = 0;
    /// Prompt tokens of all requests sent to the upstream that it has still to prefill.
    PendingTokens pendingTokens{};
    /// Requests in progress at the upstream, from all daemons.
    double running = 0;
    double slots = 1;
    /// Memory in tokens that these requests need, and the upstream's total; zero where unknown.
    double memoryUsed = 0;
    double memoryTotal = 0;
    /// Leading tokens of this prompt that are probably in the upstream's prefix cache.
    double cachedTokens = 0;
    /// Leading tokens that are cached here or that the upstream can fetch from another engine's memory.
    double fetchableTokens = 0;
    /// Duration of that fetch.
    double fetchMs = 0;
    /// Time to the first token at an idle upstream without any prefill.
    double fixedMs = 0;
    /// Prompt tokens that the service's upstreams prefill in a millisecond.
    double tokensPerMs = 1;
    /// Time to the first token as a multiple of that at the service's other upstreams.
    double slowness = 1;
    /// Recent time between two tokens of one stream at the upstream; zero where none was measured.
    double tokenMs = 0;
    /// How long a request occupies a slot.
    double serviceMs = 1;
    /// Share of recent answers that failed, 0 to 1.
    double failureShare = 0;
    /// Whether a new connection has to be opened because no pooled one is idle.
    bool needsConnection = false;
    /// Whether a rate limit named by the upstream is in force, for all daemons together.
    bool limited = false;
    /// Why no request may be sent to the upstream now.
    ExclusionReason exclusionReason = ExclusionReason::None;
    /// The newest load that the upstream has reported within the last second; does not influence the choice.
    std::optional<LoadReportView> reported = std::nullopt;
};

/// Summary of a service that another region reported.
struct RegionCandidate
{
    std::uint32_t index = 0;
    /// How long a new request of the same urgency waits there before its own prompt is prefilled.
    double waitMs = 0;
    /// The same for a request behind all that are to meet their targets.
    double lateWaitMs = 0;
    /// Time to the first token at an idle upstream without any prefill.
    double fixedMs = 0;
    /// Prompt tokens that one upstream there prefills in a millisecond.
    double tokensPerMs = 1;
    /// Mean number of requests in progress on one upstream there.
    double running = 0;
    /// Leading tokens of this prompt that are probably cached by an upstream there.
    double cachedTokens = 0;
    /// Number of upstreams there that take requests.
    double upstreams = 0;
    /// Time between two tokens of one stream there.
    double tokenMs = 0;
    /// Round-trip time of the link.
    double distanceMs = 0;
};

/// Properties of a request that the placement depends on.
struct PlacementRequest
{
    double promptTokens = 0;
    /// Leading tokens that other prompts share.
    double sharedTokens = 0;
    double memoryTokens = 0;
    Urgency urgency = Urgency::Usual;
    /// Most requests of this urgency get their first token within this time after the predicted one.
    double marginMs = 0;
    /// Whether a request that is predicted to miss its target is prefilled after all others.
    bool lateLast = true;
    /// Time left until the target latency.
    double remainingTargetMs = 0;
    /// The target latency of a new request.
    double targetMs = std::numeric_limits<double>::infinity();
    /// Output tokens that the request is still expected to generate.
    double tokensOut = 0;
    /// Whether the caller has received a part of the answer: such a request is not refused for being late, since that would cut
    /// the answer off.
    bool answerStarted = false;
    /// How much longer the caller waits for the first token, and for the whole answer.
    double firstTokenTimeoutMs = std::numeric_limits<double>::infinity();
    double completionTimeoutMs = std::numeric_limits<double>::infinity();
};

/// Costs that the placement adds to the predicted time to the first token.
struct PlacementWeights
{
    /// Cost of sending a request to another region in addition to its time, in milliseconds of delay.
    double awayMs = 20;
    /// Cost of a failed answer, in milliseconds of delay.
    double failureMs = 1'500;
    /// Cost of prefilling shared parts of a prompt again in addition to this request's own time, as a multiple of that time: an
    /// engine's prefix cache holds few parts, and each part that is prefilled evicts another.
    double rereadingShare = 20;
    /// Cost of a prefill for each request in progress on the upstream, as a multiple of the prefill time: the tokens of those
    /// requests wait behind each chunk of the prompt.
    double readingPerRunning = 0.4;
    /// Cost of fetching cached parts from another engine in addition to this request's own time, as a multiple of the fetch time:
    /// the fetch uses the engines' links, and the same parts are held twice.
    double fetchingShare = 4.0;
    /// Cost of a new connection to the upstream, in milliseconds of delay; the handshake occupies a slot for about a millisecond.
    double connectMs = 40;
    /// Cost of missing the target latency, in milliseconds of delay.
    double lateMs = 1'500;
    /// Upper bound of the random delay added to scores, in milliseconds for each other daemon of the region: daemons with the
    /// same data must not all choose the same upstream before they receive each other's digests.
    double spreadMs = 5;
    /// Cost of each millisecond that a stream takes after its first token: the stream breaks if its upstream fails.
    double streamingShare = 0;
    /// A request is refused when the predicted time to its first token exceeds this multiple of its target, or the time that its
    /// caller still waits.
    double firstTokenBound = 4.0;
    /// A stream is refused when its tokens, taking this many times longer than predicted, would not all arrive before its
    /// deadline.
    double wholeMargin = 1.0;
};

/// The result of place(); times in milliseconds.
struct Placement
{
    Verdict verdict = Verdict::Refuse;
    Admission admission = Admission::Refused;
    std::uint32_t index = 0;
    /// Predicted time to the first token; of a refused request the shortest one, zero if there is no prediction.
    double predictedMs = 0;
    /// Leading tokens that are cached at the chosen upstream, or fetched from another engine.
    double keptTokens = 0;
    /// Whether some of them are to be fetched.
    bool fetches = false;
    /// Late where the target is missed anyway, so that other requests still meet theirs.
    Urgency urgency = Urgency::Usual;
    /// Time that was left until the target.
    double remainingTargetMs = 0;
    /// Prompt tokens that the chosen upstream prefills before those of the request, and those of the request itself.
    double queuedTokens = 0;
    double prefillTokens = 0;
    /// Requests in progress at the chosen upstream.
    double running = 0;
    ExclusionReason reason = ExclusionReason::NoCapacity;
};

/// Returns the tokens that @p candidate prefills before those of a new request of @p urgency.
double tokensAhead(const UpstreamCandidate &candidate, Urgency urgency);

/// Returns the leading tokens that @p candidate does not have to prefill.
double keptTokens(const UpstreamCandidate &candidate);

/// Returns the predicted time from sending to the first token at @p candidate.
double predictedFirstTokenMs(const UpstreamCandidate &candidate, const PlacementRequest &request);

/// Returns the predicted time between two tokens of a stream at @p candidate.
double predictedTokenMs(const UpstreamCandidate &candidate);

/// Chooses between the upstreams of the own region and other regions.
Placement place(const PlacementRequest &request, std::span<const UpstreamCandidate> upstreams,
                std::span<const RegionCandidate> regions, const PlacementWeights &weights, RandomSource &random);

} // namespace Portpaddle
