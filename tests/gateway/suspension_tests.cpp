// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a daemon that does not notice the suspension of its VM. On Linux std::chrono::steady_clock does not advance
// meanwhile, while leases expire at the store, callers leave and other daemons take over. A daemon that used that clock gave
// upstreams time that their callers no longer had, and took its lease for valid and other daemons for alive. With the clocks of
// a suspended VM it did not notice the elapsed time in any case below.

#include "support/gateway_site.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include "portpaddle/net/elapsed.h"
#include "portpaddle/placement/region_table.h"
#include "portpaddle/store_following/daemon_registration.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// Longer than any time-out of the daemon, so that no result depends on the speed of the machine.
constexpr auto suspensionTime = 1h;

/// Accepts a request and never answers it.
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

TEST_CASE("Clock of the daemon, VM suspended, includes the suspension")
{
    const SystemClock clock;
    const Millis before = clock.monotonic();
    const Suspension suspension(suspensionTime);
    CHECK(clock.monotonic() - before >= suspensionTime);
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
    const Suspension suspension(suspensionTime);
    CHECK(caller.receive().status == 504);
}

TEST_CASE_FIXTURE(GatewaySite, "Kept connection, VM suspended beyond the idle time-out, is not reused")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    REQUIRE(ask("/plain/a", "id1").status == 200);
    const Suspension suspension(suspensionTime);
    CHECK(ask("/plain/a", "id2").status == 200);
    CHECK(upstream.connections() == 2);
}

TEST_CASE("Another daemon, VM suspended since its last digest, counts as silent")
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
    const Suspension suspension(suspensionTime);
    CHECK(regions.fellSilent("e", SteadyTime::clock::now()));
}

TEST_CASE("Daemon's lease, VM suspended beyond its expiry, is renewed or granted anew first")
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
    const Suspension suspension(suspensionTime);
    // By the clock that stood still, the next renewal is due in 6.5 s; this loop waits for less by the same clock.
    const auto waitStart = std::chrono::steady_clock::now();
    while (store.calls() == calls && std::chrono::steady_clock::now() - waitStart < 5s) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK(store.calls() > calls);
    registration.withdraw(Millis(1'000));
}
