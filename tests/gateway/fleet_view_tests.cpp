// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What a daemon knows of routes, upstreams and other daemons, also during outages of the store.

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/placement/round_robin_cursor.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/entry_choice.h"
#include "portpaddle/store_following/fleet_registry.h"
#include "portpaddle/streams/event_splitter.h"
#include "support/daemon_records.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime now{ 1h };

UpstreamRecord upstream(const std::string &id, bool leaving = false)
{
    UpstreamRecord record;
    record.id = id;
    record.registeredName = id;
    record.service = "s";
    record.region = "north";
    record.dataCentre = "north-1";
    record.leaving = leaving;
    return record;
}

/// A registry whose store has been reached once.
class FleetRegistryFixture
{
public:
    FleetRegistryFixture()
    {
        registry.onStoreAvailable(now);
    }

    bool knows(const std::string &id) const
    {
        return cell.read()->upstreams.contains(id);
    }

    RcuCell<FleetView> cell;
    FleetRegistry registry{ cell, [] {} };
};

std::shared_ptr<const ServiceMap> serviceMapOf(std::uint64_t number)
{
    auto map = std::make_shared<ServiceMap>();
    map->version = number;
    return map;
}

/// A gateway in region "south" with a view that the test publishes.
class EntriesFixture
{
public:
    void publish(const std::vector<DaemonRecord> &daemons)
    {
        auto view = std::make_shared<FleetView>();
        view->services = serviceMapOf(1);
        view->daemons = daemons;
        cell.publish(view);
        gateway.viewChanged();
    }

    std::vector<std::string> entries(const std::vector<DaemonRecord> &daemons)
    {
        publish(daemons);
        return entriesFor({ "north", "north-1" }, gateway, BootClock::now());
    }

    void receiveDigest(const std::string &daemon, const std::string &region, Wire::DaemonPhase phase)
    {
        Wire::LoadDigestT digest;
        digest.daemon = daemon;
        digest.region = region;
        digest.sequence = ++sequence;
        digest.phase = phase;
        gateway.applyDigest(digest);
    }

    boost::asio::io_context loop;
    RcuCell<FleetView> cell;
    SeededRandom random{ 1 };
    Metrics metrics;
    Gateway gateway{ loop.get_executor(), { "self", "south", "south-1" }, HeaderNames{}, cell, random, metrics };
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("Service map, several prefixes match, chooses the longest one of the host")
{
    ServiceMap map;
    for (const char *prefix : { "/a/", "/a/b/", "/" }) {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        map.routes.push_back(route);
    }
    map.index();
    CHECK(map.find("h", "/a/b/c")->name == "/a/b/");
    CHECK(map.find("h", "/a/x")->name == "/a/");
    CHECK(map.find("h", "/z")->name == "/");
    CHECK(map.find("other", "/a/") == nullptr);
}

TEST_CASE("Service map, split route, gives each service its share and the same request the same service")
{
    Route route;
    route.services = { { "a", 90 }, { "b", 10 } };
    unsigned toB = 0;
    for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
        CHECK(&route.serviceFor(hash) == &route.serviceFor(hash));
        toB += route.serviceFor(hash) == "b" ? 1 : 0;
    }
    CHECK(toB == 100);
}

TEST_CASE_FIXTURE(FleetRegistryFixture, "Fleet registry, older configuration, is rejected")
{
    CHECK(registry.takeConfiguration(serviceMapOf(7)));
    CHECK_FALSE(registry.takeConfiguration(serviceMapOf(6)));
    CHECK_FALSE(registry.takeConfiguration(serviceMapOf(7)));
    CHECK(cell.read()->services->version == 7);
}

TEST_CASE_FIXTURE(FleetRegistryFixture, "Fleet registry, upstream marked as leaving, stays so for its incarnation")
{
    registry.changeUpstream(upstream("u", true));
    registry.changeUpstream(upstream("u", false));
    CHECK_FALSE(cell.read()->takesRequests(cell.read()->upstreams.at("u")));
}

TEST_CASE_FIXTURE(FleetRegistryFixture, "Fleet registry, record removed while the store is reachable, is dropped at once")
{
    registry.changeUpstream(upstream("u"));
    registry.removeUpstream("u", now + 10s);
    CHECK_FALSE(knows("u"));
}

TEST_CASE_FIXTURE(FleetRegistryFixture, "Fleet registry, store unavailable, keeps known upstreams")
{
    registry.changeUpstream(upstream("u"));
    registry.onStoreUnavailable(now + 10s);
    registry.tick(now + 100s);
    CHECK(knows("u"));
    CHECK_FALSE(cell.read()->storeReachable);
}

TEST_CASE_FIXTURE(FleetRegistryFixture,
                  "Fleet registry, record missing after an outage, is kept until it could have been registered again")
{
    registry.changeUpstream(upstream("back"));
    registry.changeUpstream(upstream("gone"));
    registry.onStoreUnavailable(now + 10s);
    registry.onStoreAvailable(now + 20s);
    registry.listUpstreams({}, now + 20s);
    registry.tick(now + 21s);
    CHECK(knows("gone"));
    registry.changeUpstream(upstream("back"));
    registry.tick(now + 23s);
    CHECK(knows("back"));
    CHECK_FALSE(knows("gone"));
}

TEST_CASE_FIXTURE(FleetRegistryFixture, "Fleet registry, evacuated data centre, takes no requests until the evacuation ends")
{
    registry.changeUpstream(upstream("u"));
    registry.changeEvacuation("north-1", true);
    CHECK_FALSE(cell.read()->takesRequests(cell.read()->upstreams.at("u")));
    registry.changeEvacuation("north-1", false);
    CHECK(cell.read()->takesRequests(cell.read()->upstreams.at("u")));
}

TEST_CASE_FIXTURE(EntriesFixture, "Entries, daemons of the caller's region, take precedence over all others")
{
    const auto found = entries({ daemonIn("n", "north"), daemonIn("e", "east"), daemonIn("self", "south") });
    CHECK(found == std::vector<std::string>{ "n" });
}

TEST_CASE_FIXTURE(EntriesFixture, "Entries, stopping daemon, is named only where its region has no other")
{
    receiveDigest("n1", "north", Wire::DaemonPhase::Stopping);
    CHECK(entries({ daemonIn("n1", "north"), daemonIn("n2", "north"), daemonIn("self", "south") })
          == std::vector<std::string>{ "n2" });
    CHECK(entries({ daemonIn("n1", "north"), daemonIn("self", "south") }) == std::vector<std::string>{ "n1" });
}

TEST_CASE_FIXTURE(EntriesFixture, "Entries, closing daemon, is never named")
{
    receiveDigest("n1", "north", Wire::DaemonPhase::Closing);
    CHECK(entries({ daemonIn("n1", "north"), daemonIn("self", "south") }) == std::vector<std::string>{ "self" });
}

TEST_CASE_FIXTURE(
    EntriesFixture,
    "Entries, region without daemons and more elsewhere than one answer names, spread callers over nearly all of them")
{
    std::vector<DaemonRecord> daemons;
    for (int index = 0; index < 150; ++index) {
        daemons.push_back(daemonIn("far-" + std::to_string(index), "south"));
    }
    publish(daemons);
    std::set<std::string> named;
    for (int place = 0; place < 8; ++place) {
        const CallerPlace caller{ "lost", "lost-" + std::to_string(place) };
        const SteadyTime requestTime = BootClock::now();
        const std::vector<std::string> found = entriesFor(caller, gateway, requestTime);
        CHECK(found.size() == maxEntries);
        CHECK(entriesFor(caller, gateway, requestTime) == found);
        named.insert(found.begin(), found.end());
    }
    CHECK(named.size() > 140);
}

TEST_CASE_FIXTURE(EntriesFixture,
                  "Retry budget, daemons removed from the list, is divided by all that may still spend it in any data centre")
{
    GatewayOptions options;
    options.dataCentres = 6;
    gateway.setOptions(options);
    std::vector<DaemonRecord> daemons;
    for (int index = 0; index < 61; ++index) {
        daemons.push_back(daemonIn("d" + std::to_string(index), index < 11 ? "south" : "north"));
        daemons.back().dataCentre = daemons.back().region + "-1";
    }
    publish(daemons);
    // The gateway itself adds to the eleven daemons that are listed in its data centre.
    CHECK(gateway.retryDivisor() >= 6 * 12);
    publish({ daemons.front() });
    CHECK(gateway.retryDivisor() >= 6 * 12);
}

TEST_CASE("Event splitter, bytes split at any position, gives the same events")
{
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange(1, 20);
        std::string text;
        for (int id = 1; id <= count; ++id) {
            text += "id: " + std::to_string(id) + "\ndata: " + std::string(static_cast<std::size_t>(id), 'x') + "\n\n";
        }
        EventSplitter splitter;
        std::string passed;
        std::size_t at = 0;
        while (at < text.size()) {
            const auto step = *rc::gen::inRange<std::size_t>(1, 40);
            passed += splitter.feed(std::string_view(text).substr(at, step));
            RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
            at += step;
        }
        RC_ASSERT(passed == text);
        RC_ASSERT(splitter.lastId() == std::to_string(count));
    }));
}

TEST_CASE("Load digest, encoded and decoded, is unchanged")
{
    Wire::LoadDigestT digest;
    digest.daemon = "d";
    digest.region = "north";
    digest.sequence = 9;
    digest.upstreams.emplace_back(1, 2, 3, 4, 5, 6, 7, 8);
    digest.placed.emplace_back(7, 8, 9);
    const auto decoded = decodeDigest(encodeDigest(digest));
    CHECK(isOk(decoded));
    CHECK(encodeDigest(valueOf(decoded)) == encodeDigest(digest));
}

TEST_CASE("Load digest, maximum size, fits one datagram")
{
    Wire::LoadDigestT digest;
    digest.daemon = std::string(60, 'd');
    digest.region = std::string(40, 'r');
    digest.upstreams.resize(maxDigestUpstreams);
    digest.placed.resize(maxDigestParts);
    digest.services.resize(maxDigestServices);
    CHECK(encodeDigest(digest).size() <= maxLoadDatagramBytes);
}

TEST_CASE("Load digests, more upstreams and parts than one holds, report all of them, each digest with its sender")
{
    Wire::LoadDigestT header;
    header.daemon = "d";
    header.sequence = 5;
    header.services.resize(1);
    const std::vector<Wire::UpstreamShare> shares(maxDigestUpstreams * 2 + 1);
    const std::vector<Wire::PlacedPart> parts(maxDigestParts + 1);
    const auto digests = splitIntoDigests(header, shares, parts);
    REQUIRE(digests.size() == 3);
    std::size_t upstreams = 0;
    std::size_t placed = 0;
    for (std::size_t index = 0; index < digests.size(); ++index) {
        CHECK(digests[index].daemon == "d");
        CHECK(digests[index].sequence == 5 + index);
        CHECK(isOk(decodeDigest(encodeDigest(digests[index]))));
        upstreams += digests[index].upstreams.size();
        placed += digests[index].placed.size();
    }
    CHECK(upstreams == shares.size());
    CHECK(placed == parts.size());
    CHECK(digests[1].services.empty());
}

TEST_CASE("Load digests, no load to report, are still one that shows the sender to be alive")
{
    CHECK(splitIntoDigests({}, {}, {}).size() == 1);
}

TEST_CASE("Round-robin cursor, daemons that start together, reach every daemon of other regions within 1.5 s")
{
    // A large fleet has 20 daemons in one region and 38 elsewhere; each daemon sends to three of them every 300 ms.
    constexpr std::size_t others = 38;
    std::set<std::size_t> reached;
    for (int daemon = 0; daemon < 20; ++daemon) {
        RoundRobinCursor cursor(stableHash("front-" + std::to_string(daemon)));
        for (int count = 0; count < 5 * 3; ++count) {
            reached.insert(cursor.next(others));
        }
    }
    CHECK(reached.size() == others);
}

TEST_CASE("Load digest, arbitrary bytes of a hostile peer, are rejected or harmless")
{
    CHECK(rc::check([] {
        const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
        (void)decodeDigest(bytes);
    }));
    Wire::LoadDigestT digest;
    digest.placed.resize(maxDigestParts + 1);
    CHECK_FALSE(isOk(decodeDigest(encodeDigest(digest))));
}
