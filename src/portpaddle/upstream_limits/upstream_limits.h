// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Limits the requests of all daemons of a region together to the rates that overloaded upstreams have named.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_limits/limit_announcer.h"
#include "portpaddle/upstream_limits/limit_pace.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "portpaddle/upstream_limits/limit_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class Metrics;

/// The daemon that keeps to the limits, and its region.
struct LimitScope
{
    std::string daemon;
    std::string region;
};

/// Divides the limits of upstreams among the daemons of the region. Belongs to one event loop.
class UpstreamLimits
{
public:
    /// Writes the limit of an upstream to the platform; must not block.
    using WriteRecord = std::function<void(const StoredLimit &limit)>;

    /// @p owners ranks the daemons of the region; it must outlive this object.
    UpstreamLimits(LimitScope scope, StableOwner &owners, Metrics &metrics);

    /// Sets the function that writes limits; without one they are announced to other daemons only.
    void setWriteRecord(WriteRecord write);
    /// Drops the limits of upstreams that are not in @p view, and adds those that the platform has.
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    /// Records an answer of @p upstream. @p fromUpstream says whether the answer proves that the upstream itself gave it after it
    /// ran the request, so that a missing limit means that there is none.
    void answered(const std::string &upstream, const LimitReading &reading, bool fromUpstream, SteadyTime sentAt, SteadyTime now);
    /// Returns whether @p upstream has a limit that is in force or ended within the recovery time.
    bool isLimited(const std::string &upstream, SteadyTime now) const;
    /// Returns whether this daemon may send one more request to @p upstream now.
    bool allows(const std::string &upstream, SteadyTime now);
    /// Counts one request that is sent to @p upstream.
    void take(const std::string &upstream, SteadyTime now);
    /// Returns the time until this daemon may send a request to one of @p upstreams with @p ahead requests before it; no value if
    /// it holds no share of any of their limits.
    std::optional<SteadyTime::duration> nextSendDelay(std::span<const std::string *const> upstreams, std::size_t ahead,
                                                      SteadyTime now);
    /// Returns the mean time between two requests that all daemons together may send to @p upstreams; no value if none of them
    /// has a limit.
    std::optional<SteadyTime::duration> interval(std::span<const std::string *const> upstreams, SteadyTime now) const;
    /// Applies the limits that another daemon announced.
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the digests to send to other daemons. Call once in each digest interval; @p header holds the sender.
    std::vector<OutgoingDigest> dueDigests(const Wire::LoadDigestT &header, SteadyTime now);
    /// Writes due records. Call a few times a second.
    void tick(SteadyTime now);

private:
    /// An upstream whose limit is in force.
    struct Limited
    {
        std::uint64_t key;
        const KnownLimit &limit;
    };

    std::optional<Limited> inForce(const std::string &upstream, SteadyTime now) const;
    /// Returns the pace of this daemon at the upstream, updated to @p now.
    LimitPace &paceAt(std::uint64_t key, const KnownLimit &limit, SteadyTime now);
    void applyChange(std::uint64_t key, LimitChange change, SteadyTime now);
    void forgetRemoved();
    void writeDue(SteadyTime now);
    bool isStored(std::uint64_t key, const KnownLimit &limit) const;

    LimitScope scope_;
    StableOwner &owners_;
    Metrics &metrics_;
    WriteRecord write_;
    std::shared_ptr<const FleetView> view_;
    /// Ids of the upstreams of this region in the view, by the hash of their incarnation.
    std::unordered_map<std::uint64_t, std::string> upstreamIds_;
    /// Link addresses of the other daemons of the region.
    std::vector<std::string> linkAddresses_;
    LimitTable table_;
    LimitAnnouncer announcer_;
    std::unordered_map<std::uint64_t, LimitPace> paces_;
    /// Time at which the record of an upstream was last written.
    std::unordered_map<std::uint64_t, SteadyTime> writtenAt_;
    /// Time at which an unreadable limit of an upstream was last logged.
    std::unordered_map<std::uint64_t, SteadyTime> unreadableAt_;
};

/// Returns among how many of @p members daemons a limit is divided.
unsigned holdersOf(double perSecond, std::size_t members);

} // namespace Portpaddle
