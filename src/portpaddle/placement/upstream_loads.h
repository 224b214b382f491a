// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Estimates the load of each upstream from this daemon's own requests, other daemons' digests and the answers of upstreams.
#pragma once

#include "portpaddle/callers/caller_request.h"
#include "portpaddle/gateway/policy_settings.h"
#include "portpaddle/placement/peer_shares.h"
#include "portpaddle/placement/prefix_memory.h"
#include "portpaddle/placement/upstream_shares.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <deque>
#include <optional>
#include <set>
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
    /// When the last event came; no value before the first one.
    std::optional<SteadyTime> eventAt;
};

/// Which daemons receive a digest.
enum class DigestReach { OwnRegion, OtherRegions };

/// An upstream with requests in progress that sends nothing for this long is taken to hang until it sends something. Busy
/// upstreams send a token to some stream every few milliseconds.
inline constexpr std::chrono::milliseconds upstreamSilenceBound{ 600 };

/// How a request at an upstream ended; a rejected one (TurnedAway) does not count as a failure of the upstream.
enum class LoadOutcome { Answered, Failed, TurnedAway, Cancelled };

/// Tracks the load of all known upstreams. Must only be used from one event loop.
class UpstreamLoads
{
public:
    void setPolicy(const PolicySettings &policy);
    /// Removes upstreams that are not in @p view.
    void keepOnly(const FleetView &view);
    /// As keepOnly(), where @p earlier is the view of the last call.
    void follow(const FleetView &view, const FleetView &earlier);

    LoadTicket sent(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                    const Placement &placement, SteadyTime now);
    void firstToken(LoadTicket &ticket, SteadyTime now);
    /// Records that @p events whole events of a stream arrived, of @p tokensPerEvent tokens each.
    void streamed(LoadTicket &ticket, std::size_t events, unsigned tokensPerEvent, SteadyTime now);
    /// Records that bytes arrived from the upstream.
    void heard(const std::string &upstream, SteadyTime now);
    /// Returns the number of this daemon's requests in progress at the upstream.
    unsigned running(const std::string &upstream) const;
    bool heardSince(const std::string &upstream, SteadyTime time) const;
    void ended(LoadTicket &ticket, LoadOutcome outcome, SteadyTime now);
    void connectFailed(const std::string &upstream, SteadyTime now);

    void applyDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Applies sums that include what this daemon last reported to their aggregator; see noteReported().
    void applySums(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns this daemon's requests in progress by upstream. An upstream is included for a while after its last request ended.
    std::vector<Wire::UpstreamShare> shares(SteadyTime now) const;
    /// Returns the sums of the own shares and those of all reporting daemons, for the upstreams of one @p shard that are or were
    /// recently in use.
    std::vector<Wire::UpstreamShare> sums(unsigned shard, SteadyTime now);
    /// Remembers that @p aggregator counts @p shares of this daemon, and no other shares at upstreams of @p shard.
    void noteReported(const std::string &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares);
    /// Returns the prompt parts placed since the last call for @p reach; only the newest where there are too many.
    std::vector<Wire::PlacedPart> takePlaced(DigestReach reach);

    UpstreamCandidate describe(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                               SteadyTime now) const;

private:
    /// What an aggregator counts of this daemon at an upstream.
    struct Reported
    {
        LoadShare share;
        std::uint32_t readTokens = 0;
    };

    /// The last report of this daemon for one shard.
    struct ShardReport
    {
        std::string aggregator;
        /// The upstreams at which the aggregator counts a share of this daemon.
        std::vector<std::uint32_t> keys;
    };

    struct State
    {
        PendingTokens pendingTokens{};
        double memoryTokens = 0;
        unsigned running = 0;
        PeerShares peers;
        Reported reported;
        /// The last time at which any daemon was known to have requests at the upstream.
        SteadyTime lastBusyAt{};
        PrefixMemory prefixes;
        /// Total of the prompt tokens sent to the upstream for prefill.
        double readTokens = 0;
        /// When the last request ended.
        SteadyTime lastEnd{};
        double serviceMs = 0;
        /// Recent time between two tokens of a stream.
        double tokenMs = 0;
        SteadyTime tokenMsAt{};
        /// As of the last answer or failure; see decayedFailureShare().
        double failureShare = 0;
        SteadyTime failureShareAt{};
        unsigned failuresInRow = 0;
        SteadyTime avoidUntil{};
        SteadyTime lastHeard{};
        /// Time at which the oldest request was sent that the upstream has not reacted to; outdated if lastHeard is not earlier.
        SteadyTime silentSince{};
    };

    State &stateOf(const std::string &upstream);
    void addListed(const std::string &upstream);
    void removeListed(const std::string &upstream);
    static LoadShare ownShare(const State &state);
    bool isSilent(const State &state, SteadyTime now) const;
    static void finishReading(State &state, LoadTicket &ticket);
    /// Returns the memory in tokens that the running requests of all daemons leave for cached parts.
    static double cacheCapacity(const State &state, const ServiceSpec &spec, SteadyTime now);
    /// Returns the state of the upstream that digests name by @p key; null when it is not known.
    State *stateByKey(std::uint32_t key);
    void applyPlacedParts(const Wire::LoadDigestT &digest);
    void recordPlacedParts(State &state, const std::string &upstream, const PromptFacts &prompt, double cacheTokens);
    void recordFailure(State &state, SteadyTime now);
    static double decayedFailureShare(const State &state, SteadyTime now);

    PolicySettings policy_;
    /// The upstreams that this daemon or one that reports to it has used.
    std::unordered_map<std::string, State> states_;
    /// All listed upstreams.
    std::unordered_map<std::uint32_t, std::string> idsByKey_;
    /// Upstreams that are no longer listed but still run requests.
    std::set<std::string> unlisted_;
    std::array<ShardReport, aggregationShards> reports_;
    /// Prompt parts that are still to be announced, by reach of the digest.
    std::array<std::deque<Wire::PlacedPart>, 2> placed_;
};

} // namespace Portpaddle
