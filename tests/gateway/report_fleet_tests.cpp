// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Reported loads in fleets with aggregators: how soon all daemons of a region know a report, and the traffic for it. Datagrams
// are passed in memory; each daemon has its turns at another time.

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/upstream_reports/report_digest.h"
#include "portpaddle/upstream_reports/reported_loads.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };
constexpr auto step = 10ms;
constexpr auto transitTime = 2ms;
constexpr unsigned upstreamsPerRegion = 40;

/// Daemons of several regions that exchange digests in memory.
class ReportFleet
{
public:
    struct Daemon
    {
        Daemon(const std::string &id, const std::string &ownRegion)
            : limits(
                id, ownRegion, [](std::uint32_t, SteadyTime) { return false; },
                [](const std::string &, SteadyTime) { return false; })
            , aggregation(id, ownRegion, loads, regions, limits)
            , reports(ownRegion, metrics)
            , region(ownRegion)
            , phase(stableHash("phase " + id) % (digestInterval / step))
        {
            regions.setOwnRegion(ownRegion);
            regions.setDigestInterval(digestInterval);
        }

        UpstreamLoads loads;
        RegionTable regions;
        OrganisationLimits limits;
        LoadAggregation aggregation;
        Metrics metrics;
        ReportedLoads reports;
        std::string region;
        /// The step within the interval at which the daemon has its turn.
        std::size_t phase;
        std::uint64_t sequence = 0;
        std::size_t sentBytes = 0;
        std::size_t receivedBytes = 0;
    };

    /// The most bytes in a second that a daemon sends, that a daemon receives which is no aggregator, and that any daemon
    /// receives.
    struct Traffic
    {
        double sent = 0;
        double received = 0;
        double collected = 0;
    };

    ReportFleet(unsigned regionCount, unsigned daemonsPerRegion)
    {
        for (unsigned region = 0; region < regionCount; ++region) {
            for (unsigned index = 0; index < daemonsPerRegion; ++index) {
                DaemonRecord record;
                record.id = fmt::format("d-{}-{}", region, index);
                record.region = fmt::format("r{}", region);
                record.linkAddress = record.id;
                view->daemons.push_back(record);
            }
            for (unsigned index = 0; index < upstreamsPerRegion; ++index) {
                UpstreamRecord record;
                record.id = upstreamId(region, index);
                record.region = fmt::format("r{}", region);
                view->upstreams[record.id] = record;
            }
        }
        for (const DaemonRecord &record : view->daemons) {
            Daemon &daemon = *daemons.emplace(record.id, std::make_unique<Daemon>(record.id, record.region)).first->second;
            daemon.loads.keepOnly(*view);
            daemon.regions.setDaemons(*view, now);
            daemon.aggregation.setView(view);
            daemon.reports.setView(*view, FleetView{});
        }
    }

    static std::string upstreamId(unsigned region, unsigned index)
    {
        return fmt::format("u-{}-{}", region, index);
    }

    /// Lets @p time pass; calls @p atStep at each step.
    template<typename AtStep>
    void run(std::chrono::milliseconds time, AtStep atStep)
    {
        for (const SteadyTime end = now + time; now < end; now += step) {
            atStep();
            for (auto &[id, daemon] : daemons) {
                if (stepNumber % (digestInterval / step) == daemon->phase) {
                    sendDueDigests(id, *daemon);
                }
            }
            ++stepNumber;
        }
    }

    void run(std::chrono::milliseconds time)
    {
        run(time, [] {});
    }

    /// Lets @p upstream report @p running requests to @p daemon.
    void report(const std::string &upstream, const std::string &daemon, std::uint32_t running)
    {
        daemons.at(daemon)->reports.answered(upstream, { LoadReadingKind::Reported, { running, 0, 8, 100 } }, now);
    }

    /// Returns the number of daemons that know the report of @p running requests.
    std::size_t knowing(const std::string &upstream, std::uint32_t running) const
    {
        return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const auto &item) {
            const std::optional<LoadReportView> latest = item.second->reports.latest(upstream, now);
            return latest && latest->running == running;
        }));
    }

    Traffic trafficOfSecond(unsigned reportsPerStep)
    {
        for (auto &[id, daemon] : daemons) {
            daemon->sentBytes = daemon->receivedBytes = 0;
        }
        run(1s, [this, reportsPerStep] { reportAtRandom(reportsPerStep); });
        Traffic traffic;
        for (const auto &[id, daemon] : daemons) {
            traffic.sent = std::max(traffic.sent, static_cast<double>(daemon->sentBytes));
            traffic.collected = std::max(traffic.collected, static_cast<double>(daemon->receivedBytes));
            if (!isAggregator(*daemon)) {
                traffic.received = std::max(traffic.received, static_cast<double>(daemon->receivedBytes));
            }
        }
        return traffic;
    }

    /// Lets random upstreams of the first region answer random daemons there.
    void reportAtRandom(unsigned count)
    {
        for (; count > 0; --count) {
            const auto running = static_cast<std::uint32_t>(random.below(8));
            report(upstreamId(0, static_cast<unsigned>(random.below(upstreamsPerRegion))),
                   fmt::format("d-0-{}", random.below(daemonsIn("r0"))), running);
        }
    }

    bool isAggregator(const Daemon &daemon) const
    {
        bool result = false;
        for (unsigned shard = 0; shard < aggregationShards; ++shard) {
            result = result || daemon.aggregation.isAggregator(shard, now);
        }
        return result;
    }

    std::size_t daemonsIn(const std::string &region) const
    {
        return static_cast<std::size_t>(
            std::count_if(daemons.begin(), daemons.end(), [&region](const auto &item) { return item.second->region == region; }));
    }

    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    SteadyTime now = start;
    std::size_t stepNumber = 0;
    SeededRandom random{ 11 };

private:
    void sendDueDigests(const std::string &id, Daemon &daemon)
    {
        Wire::LoadDigestT header;
        header.daemon = id;
        header.region = daemon.region;
        header.phase = Wire::DaemonPhase::Serving;
        const std::size_t turn = stepNumber / (digestInterval / step);
        std::vector<OutgoingDigest> due = daemon.aggregation.due(
            turn, header, [](Wire::LoadDigestT &) {}, now);
        attachReports(due, header, daemon.reports, now);
        for (OutgoingDigest &outgoing : due) {
            outgoing.digest.sequence = ++daemon.sequence;
            const std::vector<std::uint8_t> datagram = encodeDigest(outgoing.digest);
            CHECK(datagram.size() < maxLoadDatagramBytes);
            const Result<Wire::LoadDigestT> digest = decodeDigest(datagram);
            REQUIRE(isOk(digest));
            daemon.sentBytes += datagram.size() * outgoing.to.size();
            for (const std::string &to : outgoing.to) {
                Daemon &receiver = *daemons.at(to);
                receiver.receivedBytes += datagram.size();
                receiver.regions.applyDigest(valueOf(digest), now + transitTime);
                receiver.aggregation.take(valueOf(digest), now + transitTime);
                receiver.reports.takeNews(valueOf(digest), now + transitTime);
            }
        }
    }
};

/// Returns the longest time until all daemons of a region know a report, over reports to several daemons.
std::chrono::milliseconds slowestReport(ReportFleet &fleet)
{
    const std::size_t members = fleet.daemonsIn("r0");
    std::chrono::milliseconds slowest{ 0 };
    for (unsigned trial = 0; trial < 12; ++trial) {
        const std::string upstream = ReportFleet::upstreamId(0, trial);
        fleet.run(30ms);
        fleet.report(upstream, fmt::format("d-0-{}", trial * 5 % members), 100 + trial);
        std::chrono::milliseconds took{ 0 };
        for (; fleet.knowing(upstream, 100 + trial) < members && took < 1s; took += step) {
            fleet.run(step);
        }
        slowest = std::max(slowest, took);
    }
    return slowest;
}

} // namespace

// Guards against reports that arrive when they have little to say any more, and against ones that leave their region.
TEST_CASE("Report fleet, fleets of 30 and of 300 daemons in three regions, know a report in the whole region within 300 ms")
{
    for (const unsigned daemonsPerRegion : { 10U, 100U }) {
        ReportFleet fleet(3, daemonsPerRegion);
        fleet.run(1s);
        const std::chrono::milliseconds slowest = slowestReport(fleet);
        MESSAGE(fmt::format("{} daemons: {} ms", 3 * daemonsPerRegion, slowest.count()));
        CHECK(slowest <= 300ms);
        fleet.report(ReportFleet::upstreamId(0, 39), "d-0-3", 777);
        fleet.run(500ms);
        CHECK(fleet.knowing(ReportFleet::upstreamId(0, 39), 777) == daemonsPerRegion);
    }
}

// In a region of more than 128 daemons reports and sums are sent at every second or third turn; a report is still known before it
// expires.
TEST_CASE("Report fleet, one region of 300 daemons, knows a report within 700 ms")
{
    ReportFleet fleet(1, 300);
    fleet.run(1s);
    const std::chrono::milliseconds slowest = slowestReport(fleet);
    MESSAGE(fmt::format("300 daemons of one region: {} ms", slowest.count()));
    CHECK(slowest <= 700ms);
}

// Guards against ages that shrink on the way, so that an old report replaces a newer one.
TEST_CASE("Report fleet, report passed on twice, has the age of the answer that made it")
{
    ReportFleet fleet(3, 10);
    fleet.run(1s);
    const SteadyTime reportedAt = fleet.now;
    fleet.report("u-0-1", "d-0-4", 6);
    fleet.run(300ms);
    const double ageMs = std::chrono::duration<double, std::milli>(fleet.now - reportedAt).count();
    for (const auto &[id, daemon] : fleet.daemons) {
        if (const std::optional<LoadReportView> latest = daemon->reports.latest("u-0-1", fleet.now)) {
            CHECK(latest->ageMs <= ageMs);
            CHECK(latest->ageMs >= ageMs - 2 * static_cast<double>(transitTime.count()));
        }
    }
    CHECK(fleet.knowing("u-0-1", 6) == 10);
}

// Guards against traffic that grows with the answers of upstreams: 800 reports a second, 20 of each upstream, and ten times as
// many.
TEST_CASE("Report fleet, any number of reports, cost a daemon the bytes of one report of each upstream and turn")
{
    constexpr double reportBytes = sizeof(Wire::UpstreamReport);
    // Each shard may need one digest more, for which a hundred bytes go to the sender and the vector.
    constexpr double sumBytes = 10 * (upstreamsPerRegion * reportBytes + aggregationShards * 100);
    for (const unsigned daemonsPerRegion : { 10U, 100U }) {
        ReportFleet fleet(3, daemonsPerRegion);
        fleet.run(2s);
        const ReportFleet::Traffic idle = fleet.trafficOfSecond(0);
        for (const unsigned reportsPerStep : { 8U, 80U }) {
            const ReportFleet::Traffic busy = fleet.trafficOfSecond(reportsPerStep);
            const double reports = reportsPerStep * 100.0;
            MESSAGE(
                fmt::format("{} daemons, {} reports a second in one region: bytes a second in addition to {:.0f} sent and {:.0f} "
                            "received: {:.0f} sent by an aggregator, {:.0f} received by it, {:.0f} by other daemons",
                            3 * daemonsPerRegion, reports, idle.sent, idle.received, busy.sent - idle.sent,
                            busy.collected - idle.collected, busy.received - idle.received));
            CHECK(busy.received - idle.received <= sumBytes);
            CHECK(busy.sent - idle.sent <= daemonsPerRegion * sumBytes);
            // An aggregator gets each report at most once, some of them in a vector of their own.
            CHECK(busy.collected - idle.collected <= sumBytes + reports * (reportBytes + 12));
        }
    }
}
