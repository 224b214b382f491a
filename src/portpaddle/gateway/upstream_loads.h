// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The load of each upstream as this daemon estimates it, from its own sends, other daemons' digests and what answers show.
#pragma once

#include "portpaddle/gateway/caller_request.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/placement.h"
#include "portpaddle/gateway/prefix_memory.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// One request at an upstream, from its sending to its end.
struct LoadTicket
{
    std::string upstream;
    Urgency urgency = Urgency::Usual;
    double pendingTokens = 0;
    double memoryTokens = 0;
    double predictedMs = 0;
    SteadyTime sentAt;
    bool reading = false;
};

/// Who receives a digest.
enum class DigestReach { OwnRegion, OtherRegions };

/// An upstream that owes answers and sends nothing at all for this long is taken to hang, until something is heard. Busy ones
/// send a token to some stream every few milliseconds.
inline constexpr std::chrono::milliseconds upstreamSilenceBound{ 600 };

/// How a request at an upstream ended.
enum class LoadOutcome { Answered, Failed, NotRun, Cancelled };

/// Belongs to one event loop.
class UpstreamLoads
{
public:
    /// Forgets upstreams that are not in @p view.
    void keepOnly(const FleetView &view);

    LoadTicket sent(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                    const Placement &placement, SteadyTime now);
    void firstToken(LoadTicket &ticket, SteadyTime now);
    /// Bytes arrived from the upstream: it is alive.
    void heard(const std::string &upstream, SteadyTime now);
    bool heardSince(const std::string &upstream, SteadyTime time) const;
    void ended(LoadTicket &ticket, LoadOutcome outcome, SteadyTime now);
    void connectFailed(const std::string &upstream, SteadyTime now);

    void takeDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// What this daemon has sent and is not answered yet.
    void fillDigest(Wire::LoadDigestT &digest);
    /// The parts placed since the last call for @p reach.
    void fillPlaced(Wire::LoadDigestT &digest, DigestReach reach);

    UpstreamCandidate describe(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                               SteadyTime now) const;

private:
    struct PeerShare
    {
        PendingTokens pendingTokens{};
        double memoryTokens = 0;
        double running = 0;
        SteadyTime at;
    };

    struct State
    {
        PendingTokens pendingTokens{};
        double memoryTokens = 0;
        unsigned running = 0;
        std::unordered_map<std::string, PeerShare> peers;
        PrefixMemory prefixes;
        double tokensPerMs = 0;
        double serviceMs = 0;
        double failureShare = 0;
        unsigned failuresInRow = 0;
        SteadyTime avoidUntil{};
        SteadyTime lastHeard{};
        /// When the oldest request went out that nothing was heard after.
        SteadyTime silentSince{};
    };

    State &stateOf(const std::string &upstream);
    static bool isSilent(const State &state, SteadyTime now);
    static void finishReading(State &state, LoadTicket &ticket);
    void failed(State &state, SteadyTime now);

    std::unordered_map<std::string, State> states_;
    std::unordered_map<std::uint64_t, std::string> idsByHash_;
    /// Parts not told yet, by reach of the digest.
    std::array<std::deque<Wire::PlacedPart>, 2> placed_;
};

/// The key under which digests name an upstream.
std::uint64_t upstreamKey(const std::string &id);

} // namespace Portpaddle
