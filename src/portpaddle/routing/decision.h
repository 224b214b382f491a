// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Routing decision: a pure function of snapshot, request, time and random source that chooses where a request runs.
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

/// A waiting deferrable request gains priority and counts as an interactive one after this time, so that it does not starve.
inline constexpr Millis deferrableAging{ 60'000 };

/// The properties of a request that a decision depends on. They never include the content of the request.
struct RequestFacts
{
    std::string requestId;
    std::string organisation;
    std::string service;
    /// Hash of the beginning of the prompt. Requests with the same hash can use the same cached prefix.
    std::uint64_t prefixHash = 0;
    unsigned promptTokens = 0;
    unsigned expectedTokens = 256;
    Millis arrivedAt{ 0 };
    Millis deadline{ 0 };
    /// Data centres that the request passed through or that failed to serve it, without the present one.
    std::vector<std::string> visited;
    /// Upstreams of this data centre that were already tried.
    std::vector<std::string> tried;
    /// The version of the service that began the stream, which goes on at no other; no value before the first event.
    std::optional<std::string> streamVersion;
};

/// The number of requests that this daemon sent to each target since the target's last report, by position in the snapshot.
struct OwnDispatches
{
    std::span<const std::uint32_t> upstreams;
    std::span<const std::uint32_t> remotes;
};

/// What is done with the request.
enum class Verdict { Serve, Forward, Wait, Refuse };

/// Why a candidate was not chosen. None marks the chosen candidate.
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
/// Returns the settings key that causes @p reason; empty if the reason depends on no setting.
std::string_view settingKeyOf(ExclusionReason reason);

/// The evaluation of one candidate. Times are predictions in milliseconds; a lower score is better.
struct CandidateOutcome
{
    /// Position among the upstreams of the snapshot, or among the remote views of the service.
    std::uint32_t index = 0;
    bool remote = false;
    ExclusionReason reason = ExclusionReason::None;
    float waitMs = 0;
    float prefillMs = 0;
    float score = 0;
};

/// The result of a decision with everything that is needed to explain it.
struct Decision
{
    Verdict verdict = Verdict::Refuse;
    /// Position of the chosen upstream (Serve) or of the chosen remote view (Forward).
    std::uint32_t target = 0;
    ErrorCode refusal = ErrorCode::NoUpstream;
    std::optional<Millis> retryAfter;
    std::vector<CandidateOutcome> candidates;
    /// The snapshot that the positions refer to.
    std::shared_ptr<const RoutingSnapshot> snapshot;
};

/// Chooses where the request runs. Reads no state except its arguments.
Decision decide(const std::shared_ptr<const RoutingSnapshot> &snapshot, const RequestFacts &facts, const OwnDispatches &own,
                Millis now, RandomSource &random);

} // namespace Portpaddle
