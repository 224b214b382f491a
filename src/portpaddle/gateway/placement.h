// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Where one request goes: a pure function of what is known of upstreams and other regions.
#pragma once

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/decision.h"

#include <array>
#include <cstdint>
#include <limits>
#include <span>
#include <string_view>

namespace Portpaddle {

/// Classes in which upstreams read prompts: all of one before the next.
enum class Urgency { Urgent, Usual, Patient, Late };
inline constexpr std::size_t urgencyCount = 4;
std::string_view nameOf(Urgency urgency);
/// The class of requests whose route ranks at @p rank among the priorities in force, zero first.
Urgency urgencyOfRank(unsigned rank);

/// Prompt tokens still to read, by urgency.
using PendingTokens = std::array<double, urgencyCount>;

/// What is known of one upstream of the own region. Times in milliseconds.
struct UpstreamCandidate
{
    std::uint32_t index = 0;
    /// Prompt tokens of all requests sent there that it has still to read.
    PendingTokens pendingTokens{};
    /// Requests there, of all daemons.
    double running = 0;
    double slots = 1;
    /// Memory in tokens that these requests need, and all there is; zero where unknown.
    double memoryUsed = 0;
    double memoryTotal = 0;
    /// Leading tokens of this prompt that it probably keeps.
    double cachedTokens = 0;
    /// Leading tokens that it can have fetched from another engine's memory, those that it keeps included.
    double fetchableTokens = 0;
    /// How long that takes.
    double fetchMs = 0;
    /// Prompt tokens that engines of its kind read in a millisecond.
    double tokensPerMs = 1;
    /// How many times longer than predicted its first tokens take.
    double slowness = 1;
    /// Between two tokens of one stream there, as seen lately; zero where nothing was.
    double tokenMs = 0;
    /// How long a request occupies one of its slots.
    double serviceMs = 1;
    /// Share of recent answers that failed, 0 to 1.
    double failureShare = 0;
    /// No kept connection is free.
    bool needsConnection = false;
    /// It takes fewer requests for now than it could, whoever asks.
    bool limited = false;
    /// Nothing may be sent there now.
    ExclusionReason exclusionReason = ExclusionReason::None;
};

/// What another region told of a service.
struct RegionCandidate
{
    std::uint32_t index = 0;
    /// How long a new request of the same urgency waits there before its own prompt is read.
    double waitMs = 0;
    /// Prompt tokens that one upstream there reads in a millisecond.
    double tokensPerMs = 1;
    /// Requests on one upstream there.
    double running = 0;
    /// Leading tokens of this prompt that an upstream there probably keeps.
    double cachedTokens = 0;
    /// Upstreams that take requests there.
    double upstreams = 0;
    /// Between two tokens of one stream there.
    double tokenMs = 0;
    /// Both ways of the link.
    double distanceMs = 0;
};

/// What matters of the request.
struct PlacementRequest
{
    double promptTokens = 0;
    /// Leading ones that other prompts share.
    double sharedTokens = 0;
    double memoryTokens = 0;
    Urgency urgency = Urgency::Usual;
    /// It is read last where it misses its target anyway.
    bool lateLast = true;
    /// What remains of the target.
    double targetLeftMs = 0;
    /// The target as it is for a new request.
    double targetMs = std::numeric_limits<double>::infinity();
    /// Tokens that it is expected to make still.
    double tokensOut = 0;
    /// Its caller has a part of the answer already: it is not refused for being late, since that would cut the answer off.
    bool begun = false;
    /// How much longer its caller waits for the first token, and for the whole answer.
    double firstTokenBoundMs = std::numeric_limits<double>::infinity();
    double wholeBoundMs = std::numeric_limits<double>::infinity();
};

/// Costs that the choice weighs.
struct PlacementWeights
{
    /// What sending a request to another region costs besides time, as milliseconds of delay.
    double awayMs = 20;
    /// What a failed answer costs, as milliseconds of delay.
    double failureMs = 1'500;
    /// What reading shared parts of prompts again costs besides this request's own time, as a multiple of the time that it takes:
    /// an engine's memory holds few of them, and each that is read pushes out another.
    double rereadingShare = 20;
    /// What reading costs for each request that runs there, as a multiple of the time that it takes: its tokens wait behind each
    /// piece of a prompt.
    double readingPerRunning = 0.4;
    /// What fetching kept parts from another engine costs besides this request's own time, as a multiple of the time it takes:
    /// bytes on the engines' links, and the same parts held twice.
    double fetchingShare = 4.0;
    /// What a new connection costs the upstream, as milliseconds of delay; its handshake takes a slot for about a millisecond.
    double connectMs = 40;
    /// What missing the target costs, as milliseconds of delay.
    double lateMs = 1'500;
    /// Scores are blurred by up to this many milliseconds for each other daemon of the region, so that daemons that know the same
    /// do not all choose the same before they hear of each other.
    double spreadMs = 5;
    /// What a stream costs for each millisecond that it takes after its first token: it may break with its upstream.
    double streamingShare = 0;
    /// A request whose first token is predicted beyond this multiple of its target, or of the time that its caller waits, is
    /// refused.
    double firstTokenBound = 4.0;
    /// A stream is refused where its tokens, predicted to take this many times longer, would not all come before its deadline.
    double wholeMargin = 1.0;
};

/// The outcome; times in milliseconds.
struct Placement
{
    Verdict verdict = Verdict::Refuse;
    std::uint32_t index = 0;
    double predictedMs = 0;
    /// Leading tokens that are kept there, or fetched from another engine.
    double keptTokens = 0;
    /// Some of them are to be fetched.
    bool fetches = false;
    /// Late where the target is missed anyway, so that others still meet theirs.
    Urgency urgency = Urgency::Usual;
    ExclusionReason reason = ExclusionReason::NoCapacity;
};

/// Tokens that @p candidate reads before those of a new request of @p urgency.
double tokensAhead(const UpstreamCandidate &candidate, Urgency urgency);

/// Leading tokens that @p candidate does not have to read.
double keptTokens(const UpstreamCandidate &candidate);

/// Time from sending to the first token at @p candidate.
double predictedFirstTokenMs(const UpstreamCandidate &candidate, const PlacementRequest &request);

/// Time between two tokens of a stream at @p candidate.
double predictedTokenMs(const UpstreamCandidate &candidate);

/// Decides between the upstreams of the own region and other regions.
Placement place(const PlacementRequest &request, std::span<const UpstreamCandidate> upstreams,
                std::span<const RegionCandidate> regions, const PlacementWeights &weights, RandomSource &random);

} // namespace Portpaddle
