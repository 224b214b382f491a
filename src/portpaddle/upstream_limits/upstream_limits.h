// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps all daemons of a region together to the requests a second that upstreams in need say they take.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/upstream_limits/limit_pace.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "portpaddle/upstream_limits/limit_table.h"
#include "portpaddle/upstream_limits/limit_teller.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class Metrics;

/// Whom the limits are kept for.
struct LimitScope
{
    std::string daemon;
    std::string region;
};

/// Belongs to one event loop.
class UpstreamLimits
{
public:
    /// Has the limit of an upstream written to the platform; must not wait.
    using WriteRecord = std::function<void(const StoredLimit &limit)>;

    /// @p owners ranks the daemons of the region; it must outlive this.
    UpstreamLimits(LimitScope scope, StableOwner &owners, Metrics &metrics);

    /// Without it limits are told to other daemons only.
    void setWriteRecord(WriteRecord write);
    /// Limits go with the lives of their upstreams; those that the platform has are taken over.
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    /// An answer of @p upstream came; @p own: it proves that the upstream itself gave it after it ran the request, so that the
    /// absence of a limit means that there is none.
    void answered(const std::string &upstream, const LimitReading &reading, bool own, SteadyTime sentAt, SteadyTime now);
    /// Whether @p upstream has a limit that is in force or was until a moment ago.
    bool isLimited(const std::string &upstream, SteadyTime now) const;
    /// Whether this daemon may send one more request to @p upstream now.
    bool allows(const std::string &upstream, SteadyTime now);
    /// One request goes to @p upstream.
    void take(const std::string &upstream, SteadyTime now);
    /// When this daemon may send to one of @p upstreams with @p ahead requests before it; none where it holds no share of any.
    std::optional<SteadyTime::duration> nextSendDelay(std::span<const std::string *const> upstreams, std::size_t ahead,
                                                      SteadyTime now);
    /// How long it takes on average until one of @p upstreams takes a request of any daemon.
    std::optional<SteadyTime::duration> interval(std::span<const std::string *const> upstreams, SteadyTime now) const;
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// What to tell other daemons; call once in each interval. @p header has the sender.
    std::vector<OutgoingDigest> dueDigests(const Wire::LoadDigestT &header, SteadyTime now);
    /// Call a few times a second.
    void tick(SteadyTime now);

private:
    /// An upstream whose limit is in force.
    struct Limited
    {
        std::uint64_t key;
        const KnownLimit &limit;
    };

    std::optional<Limited> inForce(const std::string &upstream, SteadyTime now) const;
    /// The pace of this daemon at the upstream, brought up to date.
    LimitPace &paceAt(std::uint64_t key, const KnownLimit &limit, SteadyTime now);
    void note(std::uint64_t key, LimitChange change, SteadyTime now);
    void forgetGone();
    void writeDue(SteadyTime now);
    bool isStored(std::uint64_t key, const KnownLimit &limit) const;

    LimitScope scope_;
    StableOwner &owners_;
    Metrics &metrics_;
    WriteRecord write_;
    std::shared_ptr<const FleetView> view_;
    /// Upstreams of the own region in the view, by the hash of their life.
    std::unordered_map<std::uint64_t, std::string> names_;
    /// Where the other daemons of the region are reached.
    std::vector<std::string> links_;
    LimitTable book_;
    LimitTeller teller_;
    std::unordered_map<std::uint64_t, LimitPace> paces_;
    /// When a record was last written.
    std::unordered_map<std::uint64_t, SteadyTime> writtenAt_;
    /// When an upstream's unreadable limit was last logged.
    std::unordered_map<std::uint64_t, SteadyTime> unreadableAt_;
};

/// Among how many daemons a limit is divided where there are @p members.
unsigned holdersOf(double perSecond, std::size_t members);

} // namespace Portpaddle
