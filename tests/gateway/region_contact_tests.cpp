// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Contact between regions of a large fleet after a partition. Datagrams are passed in memory; those between regions arrive one
// turn after they were sent.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/gateway/gateway_server.h"
#include "portpaddle/placement/load_digest.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };
const std::string serviceName = "s";
constexpr std::chrono::milliseconds maxRecovery{ 1'500 };
// Without any partition, other regions send to the dead aggregators until they were silent for 2 s, and 400 ms later to another
// one.
constexpr std::chrono::milliseconds maxRecoveryFromDeaths{ 2'500 };

/// Daemons of three regions; the links between regions can be cut in either direction.
class RegionContactFixture
{
public:
    /// When the first-ranked daemons of both regions die.
    enum class Deaths { None, AtCut, AtHeal };

    struct Daemon
    {
        Daemon(const DaemonRecord &record)
            : region(record.region)
            , limits(
                  record.id, record.region, [](std::uint32_t, SteadyTime) { return false; },
                  [](const std::string &, SteadyTime) { return false; })
            , aggregation(record.id, record.region, loads, regions, limits)
        {
            regions.setOwnRegion(record.region);
        }

        std::string region;
        UpstreamLoads loads;
        RegionTable regions;
        OrganisationLimits limits;
        LoadAggregation aggregation;
        std::uint64_t sequence = 0;
        std::optional<SteadyTime> diedAt;
    };

    /// Creates a fleet of @p total daemons, a third in each region.
    void build(unsigned total)
    {
        view = std::make_shared<FleetView>();
        for (unsigned index = 0; index < total; ++index) {
            DaemonRecord record;
            record.region = std::array{ "north", "south", "west" }.at(index % 3);
            record.id = fmt::format("{}-{}", record.region, index / 3);
            record.linkAddress = record.id;
            view->daemons.push_back(record);
        }
        for (const DaemonRecord &record : view->daemons) {
            Daemon &daemon = *daemons.emplace(record.id, std::make_unique<Daemon>(record)).first->second;
            daemon.regions.setDaemons(*view, now);
            daemon.aggregation.setView(view);
            daemon.regions.setDigestInterval(daemon.aggregation.sendInterval());
        }
    }

    /// Lets all daemons send their due digests every 100 ms for @p time.
    void run(std::chrono::milliseconds time)
    {
        for (const SteadyTime end = now + time; now < end; now += digestInterval) {
            ++turn;
            for (const InTransit &arriving : std::exchange(inTransit, {})) {
                deliver(arriving.digest, *arriving.to);
            }
            for (auto &[id, daemon] : daemons) {
                if (!daemon->diedAt) {
                    sendDueDigests(id, *daemon);
                }
            }
        }
    }

    void sendDueDigests(const std::string &id, Daemon &daemon)
    {
        Wire::LoadDigestT header;
        header.daemon = id;
        header.region = daemon.region;
        header.phase = Wire::DaemonPhase::Serving;
        const auto addWaits = [](Wire::LoadDigestT &digest) {
            digest.services.emplace_back(serviceKey(serviceName), 10, 20, 30, 5, 100.0F, 2.0F, 1.0F);
        };
        for (OutgoingDigest &outgoing : daemon.aggregation.due(turn, header, addWaits, now)) {
            outgoing.digest.sequence = ++daemon.sequence;
            const std::vector<std::uint8_t> datagram = encodeDigest(outgoing.digest);
            const Result<Wire::LoadDigestT> digest = decodeDigest(datagram);
            if (!isOk(digest)) {
                ++undecodable;
                continue;
            }
            send(valueOf(digest), daemon.region, outgoing.to);
        }
    }

    void send(const Wire::LoadDigestT &digest, const std::string &from, const std::vector<std::string> &to)
    {
        for (const std::string &address : to) {
            Daemon &daemon = *daemons.at(address);
            ++sent;
            if (daemon.region == from) {
                deliver(digest, daemon);
                continue;
            }
            ++sentToOtherRegions;
            demandsSent[{ from, daemon.region }] += static_cast<unsigned>(digest.limit_demands.size());
            if (!cuts.contains({ from, daemon.region })) {
                inTransit.push_back({ digest, &daemon });
            }
        }
    }

    void deliver(const Wire::LoadDigestT &digest, Daemon &to) const
    {
        if (!to.diedAt) {
            to.regions.applyDigest(digest, now);
            to.aggregation.take(digest, now);
        }
    }

    /// Ends the first-ranked aggregator of each shard in the two regions.
    void killFirstRanked()
    {
        for (const std::string region : { "north", "south" }) {
            for (unsigned shard = 0; shard < aggregationShards; ++shard) {
                Daemon &first = *daemons.at(rankForRole(*view, region, fmt::format("news {}", shard)).front()->id);
                first.diedAt = first.diedAt.value_or(now);
            }
        }
    }

    /// Returns whether others must have noticed that @p daemon died; a daemon counts as alive until it was silent for 2 s.
    bool isKnownToBeDead(const Daemon &daemon) const
    {
        return daemon.diedAt && now - *daemon.diedAt > 2s + digestInterval;
    }

    /// Returns the living daemons of @p region that know no daemon of @p other to send a request to, or send it to a dead one.
    std::vector<std::string> daemonsWithout(const std::string &region, const std::string &other)
    {
        std::vector<std::string> without;
        for (const auto &[id, daemon] : daemons) {
            if (daemon->region != region || daemon->diedAt) {
                continue;
            }
            std::vector<std::string> offered;
            daemon->regions.candidates(serviceName, {}, {}, Urgency::Urgent, now, offered);
            const DaemonRecord *picked = daemon->regions.pick(*view, other, "s", {}, now, random);
            const bool reaches = std::find(offered.begin(), offered.end(), other) != offered.end() && picked != nullptr;
            if (!reaches || isKnownToBeDead(*daemons.at(picked->id))) {
                without.push_back(id);
            }
        }
        return without;
    }

    void checkContact()
    {
        for (const std::string region : { "north", "south", "west" }) {
            for (const std::string other : { "north", "south", "west" }) {
                CHECK_MESSAGE((region == other || daemonsWithout(region, other).empty()), region << " to " << other);
            }
        }
    }

    /// Returns the messages per second of all daemons and of those between regions, over two seconds.
    std::pair<unsigned, unsigned> messagesPerSecond()
    {
        sent = sentToOtherRegions = 0;
        run(2s);
        return { sent / 2, sentToOtherRegions / 2 };
    }

    /// Cuts the links from north to south, also back if @p bothWays, for @p time, and checks contact after they heal.
    void checkCut(unsigned total, std::chrono::milliseconds time, bool bothWays, Deaths deaths)
    {
        CAPTURE(total);
        CAPTURE(time.count());
        CAPTURE(bothWays);
        CAPTURE(static_cast<int>(deaths));
        build(total);
        run(4s);
        checkContact();
        const auto [before, beforeBetween] = messagesPerSecond();
        cuts.insert({ "north", "south" });
        if (bothWays) {
            cuts.insert({ "south", "north" });
        }
        if (deaths == Deaths::AtCut) {
            killFirstRanked();
        }
        if (time > 5s) {
            run(time - 2s);
            const auto [during, duringBetween] = messagesPerSecond();
            CHECK(during <= before);
            CHECK(duringBetween <= beforeBetween);
        } else {
            run(time);
        }
        cuts.clear();
        if (deaths == Deaths::AtHeal) {
            killFirstRanked();
        }
        run(deaths == Deaths::AtHeal ? maxRecoveryFromDeaths : maxRecovery);
        checkContact();
        CHECK(undecodable == 0);
    }

    /// A digest between regions.
    struct InTransit
    {
        Wire::LoadDigestT digest;
        Daemon *to = nullptr;
    };

    std::shared_ptr<FleetView> view;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    std::vector<InTransit> inTransit;
    /// Pairs of regions between which datagrams from the first to the second are lost.
    std::set<std::pair<std::string, std::string>> cuts;
    unsigned sent = 0;
    unsigned sentToOtherRegions = 0;
    /// Demands for limits that were sent from the first region to the second.
    std::map<std::pair<std::string, std::string>, unsigned> demandsSent;
    unsigned undecodable = 0;
    SteadyTime now = start;
    std::size_t turn = 0;
    SeededRandom random{ 5 };
};

using Deaths = RegionContactFixture::Deaths;

/// Checks cuts of fleets of @p total daemons that last for each of @p times, in one direction and in both.
void checkCuts(unsigned total, const std::vector<std::chrono::seconds> &times, Deaths deaths)
{
    for (const std::chrono::seconds time : times) {
        for (const bool bothWays : { false, true }) {
            RegionContactFixture().checkCut(total, time, bothWays, deaths);
        }
    }
}

} // namespace

// Guards against a region that is believed to be silent and is therefore sent nothing: each side would wait for the other
// forever.
TEST_CASE("Region contact, partition of any length in 30 daemons, ends 1.5 s after the links heal")
{
    checkCuts(30, { 1s, 3s, 10s, 60s }, Deaths::None);
}

TEST_CASE("Region contact, partition of any length in 87 daemons, ends 1.5 s after the links heal")
{
    checkCuts(87, { 1s, 3s, 10s, 60s }, Deaths::None);
}

TEST_CASE("Region contact, partition of any length in 300 daemons, ends 1.5 s after the links heal")
{
    checkCuts(300, { 1s, 3s, 10s, 60s }, Deaths::None);
}

// Guards against a dead daemon that is the only one to which digests for its region are sent.
TEST_CASE("Region contact, first-ranked daemons die in the partition, living ones regain contact in 1.5 s")
{
    checkCuts(30, { 1s, 3s, 10s, 60s }, Deaths::AtCut);
    checkCuts(87, { 1s, 3s, 10s, 60s }, Deaths::AtCut);
    checkCuts(300, { 1s, 3s, 10s }, Deaths::AtCut);
}

TEST_CASE("Region contact, first-ranked daemons die when the links heal, living ones regain contact in 2.5 s")
{
    checkCuts(30, { 3s, 10s }, Deaths::AtHeal);
    checkCuts(87, { 3s, 10s }, Deaths::AtHeal);
    checkCuts(300, { 3s }, Deaths::AtHeal);
}

// Guards against a digest that is lost with a daemon that aggregates nothing: in a region of hundreds of daemons, those that are
// tried in 1.5 s are often none of the aggregators.
TEST_CASE_FIXTURE(RegionContactFixture,
                  "Region contact, only digest after a partition goes to a daemon that aggregates nothing, all know the region")
{
    build(87);
    cuts = { { "north", "south" }, { "south", "north" } };
    run(4s);
    const auto isOrdinary = [this](const auto &entry) {
        bool aggregates = false;
        for (unsigned shard = 0; shard < aggregationShards; ++shard) {
            aggregates = aggregates || entry.second->aggregation.isAggregator(shard, now);
        }
        return entry.second->region == "north" && !aggregates;
    };
    const auto receiver = std::find_if(daemons.begin(), daemons.end(), isOrdinary);
    REQUIRE(receiver != daemons.end());
    CHECK(daemonsWithout("north", "south").size() == 29);
    Wire::LoadDigestT digest;
    digest.daemon = "south-1";
    digest.region = "south";
    digest.kind = Wire::DigestKind::Region;
    digest.sequence = 1'000'000;
    digest.phase = Wire::DaemonPhase::Serving;
    digest.services.emplace_back(serviceKey(serviceName), 10, 20, 30, 5, 100.0F, 2.0F, 1.0F);
    deliver(digest, *receiver->second);
    run(400ms);
    CHECK(daemonsWithout("north", "south").empty());
}

// Guards against a limit that is exceeded while one direction is cut: a region told of the other's demand would change its share,
// and the other one could not know of it.
TEST_CASE_FIXTURE(RegionContactFixture, "Region contact, region that hears nothing of another, sends it no demands for limits")
{
    build(30);
    OrganisationTable organisations;
    for (unsigned index = 0; index < 20; ++index) {
        organisations.add({ fmt::format("o{}", index), {}, { LimitUnit::Requests, 100, 10, 0 }, {} }, {});
    }
    for (auto &[id, daemon] : daemons) {
        daemon->limits.setFleet({ "north", "south", "west" }, 30);
        daemon->limits.setOrganisations(organisations, now);
    }
    run(4s);
    CHECK(demandsSent.at({ "north", "south" }) > 0);
    cuts.insert({ "south", "north" });
    run(2s);
    demandsSent.clear();
    run(3s);
    CHECK(demandsSent[{ "north", "south" }] == 0);
    CHECK(demandsSent[{ "south", "north" }] > 0);
    cuts.clear();
    run(1s);
    CHECK(demandsSent[{ "north", "south" }] > 0);
}

// Guards against a digest in several parts, of which the last holds only demands and replaced what the first said of the region.
TEST_CASE_FIXTURE(RegionContactFixture, "Region contact, digest whose second part holds only demands, its summary is relayed")
{
    build(30);
    run(4s);
    const auto aggregator = std::find_if(daemons.begin(), daemons.end(), [this](const auto &entry) {
        return entry.second->region == "north" && entry.second->aggregation.isAggregator(0, now);
    });
    REQUIRE(aggregator != daemons.end());
    Wire::LoadDigestT digest;
    digest.daemon = "south-1";
    digest.region = "south";
    digest.kind = Wire::DigestKind::Region;
    Wire::LoadDigestT demands = digest;
    digest.services.emplace_back(serviceKey(serviceName), 10, 20, 30, 5, 100.0F, 2.0F, 1.0F);
    digest.members.emplace_back(memberKey("south-1"), 0, Wire::DaemonPhase::Serving, 0);
    demands.limit_demands.emplace_back(7, 1.0F);
    LoadAggregation &aggregation = aggregator->second->aggregation;
    aggregation.take(digest, now);
    aggregation.take(demands, now);
    std::size_t relayed = 0;
    for (const OutgoingDigest &outgoing : aggregation.due(
             turn, {}, [](Wire::LoadDigestT &) {}, now)) {
        for (const auto &regionNews : outgoing.digest.regions) {
            relayed += regionNews->region == "south" ? 1 : 0;
            CHECK_FALSE(regionNews->services.empty());
            CHECK_FALSE(regionNews->members.empty());
        }
    }
    CHECK(relayed == 1);
}

// Guards against a bound on known daemons that counts those that ended long ago, and then ignores every new one.
TEST_CASE("Region table, thousands of daemons replaced one after another, digests of new ones are still accepted")
{
    RegionTable table;
    table.setOwnRegion("north");
    SeededRandom random{ 5 };
    FleetView view;
    SteadyTime now = start;
    for (unsigned index = 0; index < 5'000; ++index) {
        DaemonRecord record;
        record.id = fmt::format("south-{}", index);
        record.region = "south";
        view.daemons.writable() = { record };
        table.setDaemons(view, now);
        Wire::LoadDigestT digest;
        digest.daemon = record.id;
        digest.region = record.region;
        digest.sequence = 1;
        digest.phase = Wire::DaemonPhase::Serving;
        table.applyDigest(digest, now);
        now += 60s;
    }
    CHECK(table.pick(view, "south", "s", {}, now - 60s, random) != nullptr);
}

// Guards against a region of one daemon that reaches the daemons of a larger one less often than its summary counts there (1.5
// s).
TEST_CASE("Small fleet, region of a single daemon, sends its summary to each daemon of other regions within 1.5 s")
{
    for (std::size_t others = 1; others < maxDirectFleetSize; ++others) {
        CAPTURE(others);
        const std::size_t perRound = remotePeersPerRound(others);
        CHECK(perRound <= 6);
        const std::size_t rounds = (others + perRound - 1) / perRound;
        CHECK(remoteDigestInterval * static_cast<int>(rounds) < maxRecovery);
    }
}
