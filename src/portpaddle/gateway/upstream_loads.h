// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The load of each upstream as this daemon estimates it, from its own sends, other daemons' digests and what answers show.
#pragma once

#include "portpaddle/gateway/caller_request.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/peer_shares.h"
#include "portpaddle/gateway/policy_settings.h"
#include "portpaddle/gateway/prefix_memory.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <deque>
#include <optional>
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
    /// When its last event came, once one has.
    std::optional<SteadyTime> eventAt;
};

/// Who receives a digest.
enum class DigestReach { OwnRegion, OtherRegions };

/// An upstream that owes answers and sends nothing at all for this long is taken to hang, until something is heard. Busy ones
/// send a token to some stream every few milliseconds.
inline constexpr std::chrono::milliseconds upstreamSilenceBound{ 600 };

/// How a request at an upstream ended; turned away says nothing against the upstream.
enum class LoadOutcome { Answered, Failed, TurnedAway, Cancelled };

/// Belongs to one event loop.
class UpstreamLoads
{
public:
    void setPolicy(const PolicySettings &policy);
    /// Forgets upstreams that are not in @p view.
    void keepOnly(const FleetView &view);

    LoadTicket sent(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                    const Placement &placement, SteadyTime now);
    void firstToken(LoadTicket &ticket, SteadyTime now);
    /// @p events whole ones of a stream came, of @p tokensPerEvent each.
    void streamed(LoadTicket &ticket, std::size_t events, unsigned tokensPerEvent, SteadyTime now);
    /// Bytes arrived from the upstream: it is alive.
    void heard(const std::string &upstream, SteadyTime now);
    bool heardSince(const std::string &upstream, SteadyTime time) const;
    void ended(LoadTicket &ticket, LoadOutcome outcome, SteadyTime now);
    void connectFailed(const std::string &upstream, SteadyTime now);

    void applyDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Takes sums that include what this daemon last told their gatherer with noteReported().
    void applySums(const Wire::LoadDigestT &digest, SteadyTime now);
    /// What this daemon has sent and is not answered yet, by upstream. One that all requests left is told a while longer.
    std::vector<Wire::UpstreamShare> shares(SteadyTime now) const;
    /// Own shares and those of all daemons that report here, of the upstreams of one @p shard that are in use or were a moment
    /// ago.
    std::vector<Wire::UpstreamShare> sums(unsigned shard, SteadyTime now);
    /// Remembers that @p aggregator counts @p shares of this daemon, and no other shares at upstreams of @p shard.
    void noteReported(const std::string &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares);
    /// The parts placed since the last call for @p reach; only the newest where they are many.
    std::vector<Wire::PlacedPart> takePlaced(DigestReach reach);

    UpstreamCandidate describe(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                               SteadyTime now) const;

private:
    /// What a gatherer counts of this daemon at an upstream.
    struct Reported
    {
        std::string aggregator;
        LoadShare share;
        std::uint32_t readTokens = 0;
    };

    struct State
    {
        PendingTokens pendingTokens{};
        double memoryTokens = 0;
        unsigned running = 0;
        PeerShares peers;
        Reported reported;
        /// When any daemon had requests there, as far as is known here.
        SteadyTime busyAt{};
        PrefixMemory prefixes;
        /// Prompt tokens ever sent there to be read.
        double readTokens = 0;
        /// When the last request ended.
        SteadyTime lastEnd{};
        /// How many times longer than predicted first tokens took lately.
        double slowness = 1;
        double serviceMs = 0;
        /// Between two tokens of a stream, lately.
        double tokenMs = 0;
        SteadyTime tokenMsAt{};
        /// As of the last answer or failure; see decayedFailureShare().
        double failureShare = 0;
        SteadyTime failureShareAt{};
        unsigned failuresInRow = 0;
        SteadyTime avoidUntil{};
        SteadyTime lastHeard{};
        /// When the oldest request went out that nothing was heard after.
        SteadyTime silentSince{};
    };

    State &stateOf(const std::string &upstream);
    static LoadShare ownShare(const State &state);
    bool isSilent(const State &state, SteadyTime now) const;
    static void finishReading(State &state, LoadTicket &ticket);
    /// Tokens of the memory that running requests of all daemons leave for cached parts.
    static double cacheRoom(const State &state, const ServiceSpec &spec, SteadyTime now);
    /// The state of the upstream that digests name by @p key; null when it is not known.
    State *stateByKey(std::uint32_t key);
    void notePlacedByOthers(const Wire::LoadDigestT &digest);
    void notePlaced(State &state, const std::string &upstream, const PromptFacts &prompt, double cacheTokens);
    void failed(State &state, SteadyTime now);
    static double decayedFailureShare(const State &state, SteadyTime now);

    PolicySettings policy_;
    std::unordered_map<std::string, State> states_;
    std::unordered_map<std::uint32_t, std::string> idsByKey_;
    /// Parts not told yet, by reach of the digest.
    std::array<std::deque<Wire::PlacedPart>, 2> placed_;
};

/// The key under which digests name an upstream.
std::uint32_t upstreamKey(const std::string &id);

/// Upstreams are gathered in this many shards, each by another daemon: one datagram holds those of a shard where a region has a
/// hundred, and a gatherer that dies leaves three quarters of the news.
inline constexpr unsigned aggregationShards = 4;
unsigned shardOf(std::uint32_t upstreamKey);

} // namespace Portpaddle
