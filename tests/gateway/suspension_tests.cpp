// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A VM may be suspended for seconds. std::chrono::steady_clock stands still meanwhile, as Linux has it, while leases run out at
// the store, callers leave and other daemons take over. A daemon that counted by it took up its work as if no time had passed: it
// handed upstreams time that their callers did not have any more, held its lease for valid and other daemons for heard. Evidence:
// with the clocks of a suspended VM none of these cases noticed that time had passed.

#include "support/gateway_site.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include "portpaddle/gateway/daemon_registration.h"
#include "portpaddle/gateway/region_table.h"
#include "portpaddle/net/elapsed.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// Longer than any wait of the daemon, so that no verdict depends on how fast this machine is.
constexpr auto suspended = 1h;

/// Takes a request and never answers it.
ScriptedAnswer hang(const SeenRequest &)
{
    ScriptedAnswer answer;
    answer.then = ScriptedAnswer::Then::Hang;
    return answer;
}

class SlowRouteSite : public GatewaySite
{
public:
    SlowRouteSite() : GatewaySite(Routes::Unknown)
    {
        for (Route &route : routes.routes) {
            route.timeout = Millis(1'800'000);
            route.targetLatency = Millis(1'800'000);
        }
        publishRoutes();
    }
};

} // namespace

TEST_CASE("Clock of the daemon, VM suspended, counts the time")
{
    const SystemClock clock;
    const Millis before = clock.monotonic();
    const Suspension suspension(suspended);
    CHECK(clock.monotonic() - before >= suspended);
}

TEST_CASE_FIXTURE(SlowRouteSite, "Request in progress, VM suspended beyond its deadline, is answered at once")
{
    ScriptedUpstream upstream(hang);
    addUpstream("u1", upstream.address());
    RawCaller caller(address());
    caller.send(request("/once/a", "id1"));
    while (upstream.seen().empty()) {
        std::this_thread::yield();
    }
    const Suspension suspension(suspended);
    CHECK(caller.receive().status == 504);
}

TEST_CASE_FIXTURE(GatewaySite, "Kept connection, VM suspended for longer than it is kept, is not used again")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    REQUIRE(ask("/plain/a", "id1").status == 200);
    const Suspension suspension(suspended);
    CHECK(ask("/plain/a", "id2").status == 200);
    CHECK(upstream.connections() == 2);
}

TEST_CASE("Another daemon, VM suspended since it was heard, counts as silent")
{
    RegionTable regions;
    regions.setOwnRegion("north");
    FleetView view;
    DaemonRecord peer;
    peer.id = "e";
    peer.region = "north";
    view.daemons = { peer };
    const SteadyTime before = SteadyTime::clock::now();
    regions.setDaemons(view, before);
    Wire::LoadDigestT digest;
    digest.daemon = "e";
    digest.region = "north";
    digest.sequence = 1;
    digest.phase = Wire::DaemonPhase::Serving;
    regions.applyDigest(digest, before);
    REQUIRE_FALSE(regions.fellSilent("e", SteadyTime::clock::now()));
    const Suspension suspension(suspended);
    CHECK(regions.fellSilent("e", SteadyTime::clock::now()));
}

TEST_CASE("Daemon's lease, VM suspended for longer than it lasts, is renewed or taken anew before anything else")
{
    ScriptedStore store;
    DaemonRecord record;
    record.id = "d";
    DaemonRegistration registration(
        store, record, Millis(1'000), [] { return true; }, [] { return true; });
    registration.start();
    while (!store.has("portpaddle/daemons/d")) {
        std::this_thread::yield();
    }
    const unsigned calls = store.calls();
    store.endAllLeases();
    const Suspension suspension(suspended);
    // By a clock that stood still the next renewal is 6.5 s away; this waits for less, by that clock.
    const auto from = std::chrono::steady_clock::now();
    while (store.calls() == calls && std::chrono::steady_clock::now() - from < 5s) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK(store.calls() > calls);
    registration.withdraw(Millis(1'000));
}
