// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Selection of the daemons that aggregate load reports for their region.
#pragma once

#include "portpaddle/placement/upstream_loads.h"
#include "portpaddle/store_following/fleet_view.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Selects the highest ranked responsive daemon as aggregator of each shard of each region. Belongs to one event loop.
class Aggregators
{
public:
    /// Returns whether a daemon from which messages are expected has stopped sending them.
    using IsSilent = std::function<bool(const std::string &daemon, SteadyTime now)>;

    Aggregators(std::string ownId, IsSilent isSilent);

    void setView(std::shared_ptr<const FleetView> view);
    /// Sets how often sums are expected.
    void setSendInterval(std::chrono::milliseconds interval);
    /// Returns the aggregator of @p shard in @p region; null if the region has no daemon that can be one.
    const DaemonRecord *of(const std::string &region, unsigned shard, SteadyTime now) const;
    /// Returns the daemons of @p region in turn, silent ones included; null if the region has no daemon that is not leaving.
    const DaemonRecord *next(const std::string &region, unsigned shard);
    bool isSelf(const DaemonRecord &daemon) const;
    /// Records that this daemon sent a report to @p aggregator, from which sums are expected from now on.
    void noteReportSent(const std::string &aggregator, SteadyTime now);
    /// Records that sums arrived from @p aggregator.
    void noteSumsReceived(const std::string &aggregator, SteadyTime now);
    /// Returns the names of all regions of the fleet.
    std::vector<std::string> regions() const;

private:
    /// Rankings that were needed since the list of daemons changed last, by shard.
    using ShardRankings = std::array<std::vector<const DaemonRecord *>, aggregationShards>;

    /// The responsiveness of an aggregator to which this daemon reports.
    struct Response
    {
        SteadyTime lastReport{};
        /// When its sums last arrived, or since when the first ones are expected.
        SteadyTime awaitedSince{};
        /// Until this time no reports are sent to it, because it sent no sums.
        SteadyTime avoidedUntil{};
    };

    bool isAvoided(const std::string &daemon, SteadyTime now) const;
    /// Returns the daemons that can aggregate @p shard in @p region, the preferred one first; null if the region is not listed.
    const std::vector<const DaemonRecord *> *rankingOf(const std::string &region, unsigned shard) const;

    /// Returns how long an aggregator may send no sums.
    std::chrono::milliseconds maxSilence() const;

    std::string ownId_;
    IsSilent isSilent_;
    std::shared_ptr<const FleetView> view_;
    /// By region; has all regions of the fleet.
    mutable std::unordered_map<std::string, ShardRankings> rankings_;
    /// By region and shard: how many daemons next() has returned. They are kept when the list of daemons changes: beginning again
    /// with the first one each time could return the same dead daemons only.
    std::unordered_map<std::string, std::array<std::size_t, aggregationShards>> nextCursors_;
    std::unordered_map<std::string, Response> responses_;
    std::chrono::milliseconds sendInterval_{ 100 };
};

} // namespace Portpaddle
