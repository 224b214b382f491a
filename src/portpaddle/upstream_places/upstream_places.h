// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Asks for a place at a brittle upstream before a request is sent there, and hands out places to other daemons.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/net/asio.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_places/place_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// A place that this daemon holds at an upstream.
struct HeldPlace
{
    std::string upstream;
    PlaceToken token = 0;
    /// Rejections that the upstream bears in a second.
    double borne = 0;
};

/// The places at one upstream are handed out by one daemon of its region, the first by rendezvous hashing. Belongs to one event
/// loop. Digests are sent at once, because a request waits for the reply.
class UpstreamPlaces
{
public:
    using Send = std::function<void(const OutgoingDigest &digest)>;
    /// Returns the number of requests that this daemon has at an upstream.
    using RunningAt = std::function<unsigned(const std::string &upstream)>;

    /// @p owners ranks the daemons of the region; it must outlive this object. Tokens are counted from @p firstToken, which
    /// differs from one start of a daemon to the next.
    UpstreamPlaces(Executor executor, std::string ownId, std::string ownRegion, StableOwner &owners, std::uint64_t firstToken);

    void setSend(Send send);
    void setView(std::shared_ptr<const FleetView> view);
    /// Whether a place at @p upstream was denied a moment ago.
    bool seemsFull(const std::string &upstream, SteadyTime now) const;
    /// Takes a place at @p upstream, which bears @p borne rejections a second; no value if there is none.
    Task<std::optional<HeldPlace>> take(std::string upstream, double borne);
    /// Gives @p place back.
    void release(const HeldPlace &place, PlaceEnd end);
    /// Gives @p place back, whose request the upstream rejected.
    void reject(const HeldPlace &place, const Rejection &rejection);
    /// Reports that @p upstream rejected a request that had no place.
    void rejectedWithoutPlace(const std::string &upstream, double borne, const Rejection &rejection);
    /// Applies an UpstreamPlaces digest.
    void apply(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Confirms the places held, and as many as there are other requests at brittle upstreams. Call ten times a second while a
    /// service is brittle.
    void confirm(const std::map<std::string, double> &brittleUpstreams, const RunningAt &runningAt);
    /// Frees places of daemons that no longer confirm them. Call a few times a second.
    void tick(SteadyTime now);

private:
    /// A question to another daemon that is under way.
    struct Question
    {
        explicit Question(Executor executor) : answered(executor)
        {
        }

        SteadyTimer answered;
        std::optional<bool> granted;
    };

    /// Returns the link address of the daemon that hands out places at @p upstream; empty if it is this daemon, no value if no
    /// daemon is known to.
    std::optional<std::string> ownerOf(std::uint64_t upstream) const;
    /// Returns whether the place was granted; no value if there was no reply.
    Task<std::optional<bool>> ask(const std::string &owner, const Wire::PlaceNote &note);
    /// Passes notes that need no reply to the daemons that hand out the places.
    void tellAll(const std::vector<Wire::PlaceNote> &notes);
    void tell(const Wire::PlaceNote &note);
    /// Applies a note of another daemon and adds the reply that it needs.
    void answer(const Wire::PlaceNote &note, SteadyTime now, std::vector<Wire::PlaceNote> &replies);
    void send(const std::string &link, std::vector<Wire::PlaceNote> notes);
    PlaceToken ownTokens() const;
    PlaceToken nextToken();

    Executor executor_;
    std::string ownId_;
    std::string ownRegion_;
    StableOwner &owners_;
    Send send_ = [](const OutgoingDigest &) {};
    std::shared_ptr<const FleetView> view_ = std::make_shared<const FleetView>();
    /// Link addresses of the daemons of the region by the hashes of their ids.
    std::unordered_map<std::uint64_t, std::string> links_;
    /// Upstreams of the region by the hashes of their ids.
    std::unordered_map<std::uint64_t, std::string> upstreams_;
    PlaceLedger ledger_;
    std::unordered_map<PlaceToken, HeldPlace> held_;
    std::unordered_map<PlaceToken, std::shared_ptr<Question>> questions_;
    /// Until when places at an upstream are not asked for.
    std::unordered_map<std::string, SteadyTime> fullUntil_;
    std::uint64_t tokens_;
};

} // namespace Portpaddle
