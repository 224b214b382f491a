// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The services whose upstreams fall over when they reject too many requests in a second.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_limits/limit_announcer.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "portpaddle/upstream_limits/limit_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Knows for each service how many rejections a second one of its upstreams bears, from answers, from the other daemons of the
/// region and from the platform: an upstream that has just started is as brittle as its neighbours. Belongs to one event loop.
class BrittleServices
{
public:
    /// Writes what a service bears to the platform; must not block.
    using WriteRecord = std::function<void(const StoredLimit &limit)>;

    /// @p owners ranks the daemons of the region; it must outlive this object.
    BrittleServices(std::string region, const StableOwner &owners);

    void setWriteRecord(WriteRecord write);
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    /// Records what an answer to a request sent at @p sentAt says. @p fromUpstream says whether the upstream itself gave it, so
    /// that a missing number means that it is not brittle. Returns whether the other daemons are to be told of it now.
    bool answered(const std::string &service, const LimitReading &reading, bool fromUpstream, SteadyTime sentAt, SteadyTime now);
    /// Returns the rejections that an upstream of @p service bears in a second; no value if it is not brittle.
    std::optional<double> borne(const std::string &service, SteadyTime now) const;
    /// Whether any service is brittle.
    bool any() const;
    /// Applies what another daemon announced.
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Adds what the other daemons of the region are to be told. Call once in each digest interval.
    void addDue(Wire::LoadDigestT &digest, SteadyTime now);
    /// Writes due records. Call a few times a second.
    void tick(SteadyTime now);

private:
    /// Returns whether anything changed.
    bool changed(std::uint64_t key, LimitChange change, SteadyTime now);
    void forgetLapsed();
    bool isStored(std::uint64_t key, const KnownLimit &limit) const;

    std::string region_;
    const StableOwner &owners_;
    WriteRecord write_;
    std::shared_ptr<const FleetView> view_;
    std::shared_ptr<const ServiceMap> services_;
    /// Names of the configured services by their keys.
    std::unordered_map<std::uint64_t, std::string> names_;
    LimitTable table_;
    LimitAnnouncer announcer_;
    /// Time at which a service's record was last written.
    std::unordered_map<std::uint64_t, SteadyTime> writtenAt_;
};

} // namespace Portpaddle
