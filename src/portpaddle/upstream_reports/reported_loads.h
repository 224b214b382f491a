// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The newest load that each upstream of the region has reported to any of its daemons.
#pragma once

#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_reports/load_reading.h"
#include "portpaddle/upstream_reports/reported_load.h"
#include "portpaddle/wire/load_generated.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Portpaddle {

class Metrics;

/// Reports that are older do not count: requests stay at an upstream for about a second, so that its load has changed since.
inline constexpr std::chrono::milliseconds maxReportAge{ 1'000 };
/// Maximum number of requests to one upstream that are counted since a report.
inline constexpr std::size_t maxCountedSends = 256;

/// Which reports a digest passes on.
struct ReportScope
{
    /// The shard of the upstreams; all upstreams if none is given.
    std::optional<unsigned> shard;
    /// Whether those that other daemons reported to this one as their aggregator are included.
    bool includesCollected = false;
    /// Number of successive calls in which a report is returned.
    unsigned turns = 1;
    std::size_t maxCount = SIZE_MAX;
};

/// Keeps the newest report of each incarnation of an upstream. Only upstreams of the own region in the view have entries, and
/// only for as long as a report or request of the last second concerns them. Belongs to one event loop.
class ReportedLoads
{
public:
    ReportedLoads(std::string ownRegion, Metrics &metrics);

    /// Drops upstreams that are not in @p view; @p earlier is the view of the last call.
    void setView(const FleetView &view, const FleetView &earlier);
    /// Records what an answer of @p upstream that arrived now says.
    void answered(const std::string &upstream, const LoadReading &reading, SteadyTime now);
    /// Records that a request is sent to @p upstream.
    void sent(const std::string &upstream, SteadyTime now);
    /// Returns the newest report of @p upstream; no value if there is none of the last second.
    std::optional<LoadReportView> latest(const std::string &upstream, SteadyTime now) const;
    /// Applies the reports that another daemon passed on; those from other regions are ignored.
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the reports of @p scope that are still to be sent, first those of upstreams for which none was sent for the
    /// longest time, and counts them as sent.
    std::vector<Wire::UpstreamReport> takeDue(const ReportScope &scope, SteadyTime now);
    /// Drops expired entries. Call a few times a second.
    void tick(SteadyTime now);
    /// Returns the number of upstreams with entries.
    std::size_t size() const;

private:
    /// How a report reached this daemon. A report is passed on at most twice, by the daemon that read it and by the aggregator.
    enum class Origin { Answer, Collected, PassedOn };

    struct Report
    {
        ReportedLoad load;
        /// Time at which it reached the first daemon.
        SteadyTime at;
        Origin origin = Origin::Answer;
        /// The daemon that passed it on, and the sequence number of its digest.
        std::string sender;
        std::uint64_t sequence = 0;
    };

    struct Entry
    {
        std::optional<Report> report;
        /// Number of calls of takeDue() that returned the report.
        unsigned sentTurns = 0;
        /// Time at which any report of the upstream was last passed on.
        SteadyTime passedOnAt{};
        /// Times of the requests sent within the last second, in ascending order.
        std::vector<SteadyTime> sends;
        /// Time at which an unreadable report was last logged.
        std::optional<SteadyTime> unreadableAt;
    };

    static bool isNews(const Entry &entry, const Report &report);
    static bool isDue(std::uint32_t key, const Entry &entry, const ReportScope &scope, SteadyTime now);
    static bool isExpired(const Entry &entry, SteadyTime now);
    void noteUnreadable(const std::string &upstream, SteadyTime now);
    void put(std::uint32_t key, Report report, SteadyTime now);

    std::string ownRegion_;
    Metrics &metrics_;
    /// Keys of the upstreams of the own region in the view; see upstreamKey().
    std::unordered_set<std::uint32_t> listed_;
    std::unordered_map<std::uint32_t, Entry> entries_;
    /// Time at which the last report arrived.
    std::optional<SteadyTime> lastReportAt_;
};

} // namespace Portpaddle
