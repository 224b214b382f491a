// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Counts, grants and demand by urgency in the digests of a fleet with aggregators.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/placement/load_digest.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// 30 daemons in each of two regions, which exchange digests in memory, and an organisation with a limit.
class UrgencyTransportFixture
{
public:
    struct Daemon
    {
        Daemon(const std::string &id, const std::string &region)
            : limits(
                id, region, [this](std::uint32_t key, SteadyTime time) { return aggregation.isAggregator(shardOf(key), time); },
                [](const std::string &, SteadyTime) { return false; })
            , aggregation(id, region, loads, regions, limits)
        {
            regions.setOwnRegion(region);
            regions.setDigestInterval(digestInterval);
        }

        UpstreamLoads loads;
        RegionTable regions;
        OrganisationLimits limits;
        LoadAggregation aggregation;
        std::uint64_t sequence = 0;
    };

    UrgencyTransportFixture()
    {
        shop.name = "shop";
        shop.limit = { LimitUnit::Tokens, 100'000, 100'000, 200 };
        table.add(shop, {});
        const auto view = std::make_shared<FleetView>();
        for (const std::string region : { "north", "south" }) {
            for (unsigned index = 0; index < 30; ++index) {
                DaemonRecord record;
                record.id = record.linkAddress = fmt::format("{}-{}", region, index);
                record.region = region;
                view->daemons.push_back(record);
            }
        }
        for (const DaemonRecord &record : view->daemons) {
            Daemon &daemon = *(daemons[record.id] = std::make_unique<Daemon>(record.id, record.region));
            daemon.regions.setDaemons(*view, now);
            daemon.aggregation.setView(view);
            daemon.limits.setFleet({ "north", "south" }, static_cast<unsigned>(view->daemons.size()));
            daemon.limits.setOrganisations(table, now);
        }
    }

    /// Sends due digests every 100 ms for 3 s. In the north 50,000 urgent units a second are asked for, and 150,000 usual ones in
    /// both regions.
    void run()
    {
        for (const SteadyTime end = now + 3s; now < end; now += 100ms, ++turn) {
            for (auto &[id, daemon] : daemons) {
                ask(*daemon, Urgency::Usual, 500);
                if (id.starts_with("north")) {
                    ask(*daemon, Urgency::Urgent, 5'000.0 / 30);
                }
            }
            for (auto &[id, daemon] : daemons) {
                sendDigests(id, *daemon);
            }
        }
    }

    void ask(Daemon &daemon, Urgency urgency, double units)
    {
        daemon.limits.admit(shop, { .units = units, .urgency = urgency }, now, random);
    }

    void sendDigests(const std::string &id, Daemon &daemon)
    {
        Wire::LoadDigestT header;
        header.daemon = id;
        header.region = id.substr(0, id.find('-'));
        header.phase = Wire::DaemonPhase::Serving;
        for (OutgoingDigest &outgoing : daemon.aggregation.due(
                 turn, header, [](Wire::LoadDigestT &) {}, now)) {
            outgoing.digest.sequence = ++daemon.sequence;
            const Result<Wire::LoadDigestT> digest = decodeDigest(encodeDigest(outgoing.digest));
            REQUIRE(isOk(digest));
            for (const std::string &to : outgoing.to) {
                daemons.at(to)->regions.applyDigest(valueOf(digest), now);
                daemons.at(to)->aggregation.take(valueOf(digest), now);
            }
        }
    }

    Organisation shop;
    OrganisationTable table;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    SeededRandom random{ 5 };
    SteadyTime now{ 1h };
    std::size_t turn = 0;
};

} // namespace

TEST_CASE_FIXTURE(UrgencyTransportFixture,
                  "Load aggregation, limit exceeded, brings grants by urgency to all daemons of a region")
{
    // Guards against entries by urgency that are not sent, or not passed on to the limits.
    run();
    for (const auto &[id, daemon] : daemons) {
        CAPTURE(id);
        const double urgent = daemon->limits.admittedPart("shop", Urgency::Urgent);
        const double usual = daemon->limits.admittedPart("shop", Urgency::Usual);
        // The aggregator grants itself more between two rounds of reports, since its bucket fills in that time.
        CHECK(usual <= 0.8);
        if (id.starts_with("north")) {
            CHECK(urgent >= 0.95);
        }
    }
}

TEST_CASE_FIXTURE(UrgencyTransportFixture,
                  "Load aggregation, urgent demand in one region, is known to its aggregator and divides the limit")
{
    run();
    const std::uint32_t key = organisationKey("shop");
    const auto all = [](std::uint32_t) { return true; };
    unsigned aggregators = 0;
    for (const auto &[id, daemon] : daemons) {
        if (!daemon->aggregation.isAggregator(shardOf(key), now)) {
            continue;
        }
        ++aggregators;
        CAPTURE(id);
        const bool north = id.starts_with("north");
        REQUIRE(daemon->limits.urgencyDemands(all).size() == 1);
        const double urgent = daemon->limits.urgencyDemands(all).front().urgent();
        // All daemons report at once here, so that the newest slot of the average may hold a whole report more than its time.
        CHECK((north ? urgent >= 45'000 && urgent <= 100'000 : urgent == 0));
        // By totals the south would have 0.43 of the limit, which is 0.29 of its demand.
        const double rate = daemon->limits.grants(all, now).front().rate_per_asked();
        CHECK((north ? rate > 0.3 : rate < 0.2));
    }
    CHECK(aggregators == 2);
}
