// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Load and liveness that daemons of a large fleet know of each other, and the traffic for it. Datagrams are passed in memory.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };

ServiceSpec service()
{
    ServiceSpec spec;
    spec.memoryTokens = 500'000;
    return spec;
}

PromptFacts prompt(unsigned tokens)
{
    PromptFacts facts;
    facts.promptTokens = tokens;
    facts.parts = { { 1, tokens } };
    return facts;
}

/// Daemons of two regions that exchange digests in memory.
class LoadAggregationFixture
{
public:
    struct Daemon
    {
        Daemon(const std::string &id, const std::string &region)
            : limits(
                id, region, [](std::uint32_t, SteadyTime) { return false; },
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
        bool dead = false;
    };

    /// Creates @p each daemons and @p upstreams upstreams in each region.
    void build(unsigned each, unsigned upstreams)
    {
        view = std::make_shared<FleetView>();
        for (const std::string region : { "north", "south" }) {
            for (unsigned index = 0; index < each; ++index) {
                DaemonRecord record;
                record.id = fmt::format("{}-{}", region, index);
                record.region = region;
                record.linkAddress = record.id;
                view->daemons.push_back(record);
            }
            for (unsigned index = 0; index < upstreams; ++index) {
                UpstreamRecord record;
                record.id = fmt::format("u-{}-{}", region, index);
                record.region = region;
                record.slots = 24;
                view->upstreams[record.id] = record;
            }
        }
        for (const DaemonRecord &record : view->daemons) {
            daemons[record.id] = std::make_unique<Daemon>(record.id, record.region);
            Daemon &daemon = *daemons[record.id];
            daemon.loads.keepOnly(*view);
            daemon.regions.setDaemons(*view, now);
            daemon.aggregation.setView(view);
        }
    }

    /// Lets all daemons send their due digests every 100 ms for @p time.
    void run(std::chrono::milliseconds time)
    {
        for (const SteadyTime end = now + time; now < end; now += 100ms) {
            ++turn;
            for (auto &[id, daemon] : daemons) {
                if (!daemon->dead) {
                    sendDueDigests(id, *daemon);
                }
            }
        }
    }

    void sendDueDigests(const std::string &id, Daemon &daemon)
    {
        Wire::LoadDigestT header;
        header.daemon = id;
        header.region = id.substr(0, id.find('-'));
        header.phase = Wire::DaemonPhase::Serving;
        const auto addWaits = [](Wire::LoadDigestT &digest) { digest.services = { { 7, 10, 20, 30, 5, 100, 2, 1 } }; };
        for (OutgoingDigest &outgoing : daemon.aggregation.due(turn, header, addWaits, now)) {
            outgoing.digest.sequence = ++daemon.sequence;
            const std::vector<std::uint8_t> datagram = encodeDigest(outgoing.digest);
            CHECK(datagram.size() <= maxLoadDatagramBytes);
            for (const std::string &to : outgoing.to) {
                ++sent[id];
                bytesOf[id] += datagram.size();
                bytes += datagram.size();
                deliver(datagram, *daemons.at(to));
            }
        }
    }

    void deliver(const std::vector<std::uint8_t> &datagram, Daemon &to) const
    {
        const Result<Wire::LoadDigestT> digest = decodeDigest(datagram);
        REQUIRE(isOk(digest));
        if (!to.dead) {
            to.regions.applyDigest(valueOf(digest), now);
            to.aggregation.take(valueOf(digest), now);
        }
    }

    LoadTicket send(const std::string &daemon, const std::string &upstream, unsigned tokens)
    {
        return daemons.at(daemon)->loads.sent(view->upstreams.at(upstream), service(), prompt(tokens), {}, now);
    }

    double running(const std::string &daemon, const std::string &upstream) const
    {
        return daemons.at(daemon)->loads.describe(view->upstreams.at(upstream), service(), prompt(0), now).running;
    }

    unsigned allSent() const
    {
        unsigned sum = 0;
        for (const auto &[id, count] : sent) {
            sum += count;
        }
        return sum;
    }

    std::shared_ptr<FleetView> view;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    std::map<std::string, unsigned> sent;
    std::map<std::string, std::size_t> bytesOf;
    /// Total size of all datagrams.
    std::size_t bytes = 0;
    SteadyTime now = start;
    std::size_t turn = 0;
};

} // namespace

TEST_CASE_FIXTURE(LoadAggregationFixture,
                  "Load aggregation, load of all daemons of a region, is known to each of them and counted once")
{
    build(40, 10);
    run(1s);
    std::vector<LoadTicket> tickets;
    for (const auto &[id, daemon] : daemons) {
        if (id.starts_with("north")) {
            for (unsigned index = 0; index < 10; ++index) {
                tickets.push_back(send(id, fmt::format("u-north-{}", index), 640));
            }
        }
    }
    run(600ms);
    for (const auto &[id, daemon] : daemons) {
        for (unsigned index = 0; id.starts_with("north") && index < 10; ++index) {
            CHECK(running(id, fmt::format("u-north-{}", index)) == 40);
        }
    }
}

TEST_CASE_FIXTURE(LoadAggregationFixture,
                  "Load aggregation, upstreams without requests left, are known to be idle and cause no traffic")
{
    build(40, 200);
    run(1s);
    const auto bytesOfSecond = [this] {
        bytes = 0;
        run(1s);
        return bytes;
    };
    const std::size_t idle = bytesOfSecond();
    LoadTicket ticket = send("north-7", "u-north-3", 640);
    run(500ms);
    CHECK(running("north-9", "u-north-3") == 1);
    daemons.at("north-7")->loads.ended(ticket, LoadOutcome::Answered, now);
    run(500ms);
    CHECK(running("north-9", "u-north-3") == 0);
    run(3s);
    CHECK(running("north-9", "u-north-3") == 0);
    CHECK(bytesOfSecond() <= idle);
}

TEST_CASE_FIXTURE(LoadAggregationFixture, "Load aggregation, aggregator that dies, is replaced within two seconds")
{
    build(40, 10);
    run(1s);
    std::vector<LoadTicket> tickets;
    for (const auto &[id, daemon] : daemons) {
        tickets.push_back(send(id, "u-north-3", 640));
    }
    run(600ms);
    const DaemonRecord *aggregator
        = rankForRole(*view, "north", fmt::format("news {}", shardOf(upstreamKey("u-north-3")))).front();
    daemons.at(aggregator->id)->dead = true;
    run(3s);
    for (const auto &[id, daemon] : daemons) {
        if (id.starts_with("north") && !daemon->dead) {
            CHECK(running(id, "u-north-3") == 39);
            CHECK(daemon->regions.fellSilent(aggregator->id, now));
        }
    }
}

TEST_CASE_FIXTURE(LoadAggregationFixture, "Load aggregation, daemons of other regions, are all known to be alive")
{
    build(60, 4);
    run(4s);
    SeededRandom random{ 5 };
    for (const auto &[id, daemon] : daemons) {
        for (const DaemonRecord &other : view->daemons) {
            CHECK_FALSE(daemon->regions.fellSilent(other.id, now));
        }
        std::set<std::string> picked;
        for (int pick = 0; pick < 2'000; ++pick) {
            picked.insert(daemon->regions.pick(*view, id.starts_with("north") ? "south" : "north", "s", {}, now, random)->id);
        }
        CHECK(picked.size() == 60);
    }
}

TEST_CASE_FIXTURE(
    LoadAggregationFixture,
    "Load aggregation, three times as many daemons, median daemon sends no more and all send less than four times as much")
{
    const auto measure = [](unsigned each) {
        LoadAggregationFixture fleet;
        fleet.build(each, 20);
        fleet.run(1s);
        fleet.sent.clear();
        fleet.run(4s);
        std::vector<unsigned> counts;
        for (const auto &[id, count] : fleet.sent) {
            counts.push_back(count);
        }
        std::sort(counts.begin(), counts.end());
        return std::pair(counts.at(counts.size() / 2), fleet.allSent());
    };
    const auto [medianOfFew, allOfFew] = measure(30);
    const auto [medianOfMany, allOfMany] = measure(90);
    CHECK(medianOfMany <= medianOfFew);
    CHECK(allOfMany < 4 * allOfFew);
}

TEST_CASE("Load aggregation, region that doubles with its upstreams and load, busiest aggregator sends hardly more")
{
    const auto busiestBytes = [](unsigned each) {
        LoadAggregationFixture fleet;
        fleet.build(each, 10 * each);
        SeededRandom random(5);
        std::vector<LoadTicket> tickets;
        for (unsigned index = 0; index < each; ++index) {
            tickets.push_back(fleet.send(fmt::format("north-{}", random.below(each)),
                                         fmt::format("u-north-{}", random.below(10 * each)), 12'000));
        }
        fleet.run(600ms);
        fleet.bytesOf.clear();
        fleet.run(1'200ms);
        std::size_t most = 0;
        for (const auto &[id, bytes] : fleet.bytesOf) {
            most = std::max(most, bytes);
        }
        return static_cast<double>(most);
    };
    CHECK(busiestBytes(360) < 1.25 * busiestBytes(180));
}

TEST_CASE_FIXTURE(LoadAggregationFixture,
                  "Aggregators, one that receives reports and sends no sums, is avoided, but not while reports go to others")
{
    build(40, 0);
    Aggregators aggregators("north-x", [](const std::string &, SteadyTime) { return false; });
    aggregators.setView(view);
    const std::string first = aggregators.of("north", 0, now)->id;
    // The aggregator sent its sums, then reports went to others for a while, so that no sums are due from this one.
    aggregators.noteReportSent(first, now);
    aggregators.noteSumsReceived(first, now + 100ms);
    aggregators.noteReportSent(first, now + 10s);
    CHECK(aggregators.of("north", 0, now + 10s)->id == first);
    for (SteadyTime time = now + 10s; time < now + 12s; time += 100ms) {
        aggregators.noteReportSent(first, time);
    }
    CHECK(aggregators.of("north", 0, now + 12s)->id != first);
    aggregators.noteSumsReceived(first, now + 13s);
    CHECK(aggregators.of("north", 0, now + 13s)->id == first);
}

TEST_CASE_FIXTURE(LoadAggregationFixture, "Role ranking, VMs with many CPU cores among many small ones, usually rank first")
{
    build(50, 0);
    for (std::size_t index = 0; index < 4; ++index) {
        view->daemons.writable().at(index * 10).cpuCores = 0.5;
    }
    unsigned strongFirst = 0;
    for (int role = 0; role < 100; ++role) {
        strongFirst += rankForRole(*view, "north", fmt::format("role {}", role)).front()->cpuCores > 0 ? 1 : 0;
    }
    CHECK(strongFirst > 80);
}

TEST_CASE("Stable owner, daemons with the same list, none at first and exactly one once the list is stable")
{
    std::vector<std::uint64_t> members;
    std::vector<std::unique_ptr<StableOwner>> owners;
    for (int index = 0; index < 60; ++index) {
        const std::string id = fmt::format("d{}", index);
        members.push_back(stableHash(id));
        owners.push_back(std::make_unique<StableOwner>(id));
    }
    for (const auto &owner : owners) {
        owner->setMembers(members, start);
    }
    for (std::uint64_t key = 1; key < 50; ++key) {
        const auto ownersAt = [&](SteadyTime now) {
            return std::count_if(owners.begin(), owners.end(), [&](const auto &owner) { return owner->owns(key, now); });
        };
        CHECK(ownersAt(start + 1s) == 0);
        CHECK(ownersAt(start + 5s) == 1);
    }
}

TEST_CASE("Stable owner, list that changes, new owner waits until the old one must know of the change")
{
    const std::vector<std::string> ids{ "a", "b", "c", "d" };
    std::vector<std::uint64_t> all;
    for (const std::string &id : ids) {
        all.push_back(stableHash(id));
    }
    for (std::uint64_t key = 1; key < 100; ++key) {
        std::vector<std::unique_ptr<StableOwner>> owners;
        for (const std::string &id : ids) {
            owners.push_back(std::make_unique<StableOwner>(id));
            owners.back()->setMembers({ all[0], all[1], all[2] }, start);
        }
        // Each daemon learns of the change at a different time, the last one two seconds after the first.
        for (std::size_t index = 0; index < ids.size(); ++index) {
            owners[index]->setMembers(all, start + 10s + std::chrono::milliseconds(index * 660));
        }
        for (SteadyTime now = start + 12s; now < start + 18s; now += 200ms) {
            const auto count
                = std::count_if(owners.begin(), owners.end(), [&](const auto &owner) { return owner->owns(key, now); });
            CHECK(count <= 1);
        }
    }
}

namespace {

/// Three daemons of one region, which are listed and have sent a digest.
class RegionTableFixture
{
public:
    RegionTableFixture()
    {
        for (const std::string id : { "south-0", "south-1", "south-2" }) {
            DaemonRecord record;
            record.id = id;
            record.region = "south";
            view.daemons.push_back(record);
        }
        table.setOwnRegion("north");
        table.setDaemons(view, start);
        for (const DaemonRecord &daemon : view.daemons) {
            applyDigestOf(daemon.id, "south", Wire::DaemonPhase::Serving);
        }
    }

    void applyDigestOf(const std::string &daemon, const std::string &region, Wire::DaemonPhase phase)
    {
        Wire::LoadDigestT digest;
        digest.daemon = daemon;
        digest.region = region;
        digest.sequence = ++sequence;
        digest.phase = phase;
        digest.services.emplace_back(serviceKey("s"), 0, 0, 0, 1, 100.0F, 0.0F, 4.0F);
        table.applyDigest(digest, start);
    }

    std::vector<std::string> regionsOffered() const
    {
        std::vector<std::string> names;
        table.candidates("s", service(), prompt(100), Urgency::Urgent, start, names);
        return names;
    }

    FleetView view;
    RegionTable table;
    SeededRandom random{ 3 };
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE_FIXTURE(RegionTableFixture, "Region table, digest naming a region without listed daemons, does not offer that region")
{
    applyDigestOf("stranger", "nowhere", Wire::DaemonPhase::Serving);
    CHECK(regionsOffered() == std::vector<std::string>{ "south" });
}

TEST_CASE_FIXTURE(RegionTableFixture,
                  "Region table, alternative to an ending daemon, is a serving one rather than a stopping one")
{
    applyDigestOf("south-1", "south", Wire::DaemonPhase::Stopping);
    for (int attempt = 0; attempt < 20; ++attempt) {
        const DaemonRecord *beside = table.pickBeside(view, view.daemons[0], start, random);
        REQUIRE(beside != nullptr);
        CHECK(beside->id == "south-2");
    }
    applyDigestOf("south-2", "south", Wire::DaemonPhase::Starting);
    CHECK(table.pickBeside(view, view.daemons[0], start, random)->id == "south-1");
}
