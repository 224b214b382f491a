// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The decision where a request runs: a pure function of snapshot, request, time and random source.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/routing/routing_snapshot.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Portpaddle {

class RandomSource;

/// Over this time a waiting deferrable request comes to be treated as an interactive one, so that it finishes in the end.
inline constexpr Millis deferrableAging{ 60'000 };

/// What a decision needs to know of a request; never its content.
struct RequestFacts
{
    std::string requestId;
    std::string organisation;
    std::string service;
    /// Hash of the beginning of the prompt; requests that share it share cached work.
    std::uint64_t prefixHash = 0;
    unsigned promptTokens = 0;
    unsigned expectedTokens = 256;
    Millis arrivedAt{ 0 };
    Millis deadline{ 0 };
    /// Data centres passed so far or asked in vain, the present one not included.
    std::vector<std::string> visited;
    /// Upstreams already tried in this data centre.
    std::vector<std::string> tried;
};

/// Requests this daemon sent since the last report of each target, by position in the snapshot.
struct OwnDispatches
{
    std::span<const std::uint32_t> upstreams;
    std::span<const std::uint32_t> remotes;
};

/// What happens to the request.
enum class Verdict { Serve, Forward, Wait, Refuse };

/// Why a candidate was not chosen; None is the chosen one.
enum class ExclusionReason {
    None,
    Leaving,
    Unhealthy,
    VersionAbsent,
    AlreadyTried,
    Full,
    WorseScore,
    ResidencyForbids,
    AlreadyVisited,
    HopLimit,
    Unreachable,
    NoCapacity,
    Stale,
    ShareSpent,
    MarginNotReached,
    TooLate,
    UpstreamLimit,
    BackingOff,
};

std::string_view nameOf(Verdict verdict);
std::string_view nameOf(ExclusionReason reason);
/// The settings key that produced @p reason; empty when state, not a setting, did.
std::string_view settingBehind(ExclusionReason reason);

/// How one candidate fared. Times are predictions in milliseconds.
struct CandidateOutcome
{
    /// Position among the snapshot's upstreams, or among the service's remote views.
    std::uint32_t index = 0;
    bool remote = false;
    ExclusionReason reason = ExclusionReason::None;
    float waitMs = 0;
    float prefillMs = 0;
    float score = 0;
};

/// The outcome with everything needed to explain it.
struct Decision
{
    Verdict verdict = Verdict::Refuse;
    /// The chosen upstream's position, or the chosen remote view's.
    std::uint32_t target = 0;
    ErrorCode refusal = ErrorCode::NoUpstream;
    std::optional<Millis> retryAfter;
    std::vector<CandidateOutcome> candidates;
    /// Keeps the names behind the positions alive.
    std::shared_ptr<const RoutingSnapshot> snapshot;
};

/// Decides; reads nothing but its arguments.
Decision decide(const std::shared_ptr<const RoutingSnapshot> &snapshot, const RequestFacts &facts, const OwnDispatches &own,
                Millis now, RandomSource &random);

} // namespace Portpaddle
