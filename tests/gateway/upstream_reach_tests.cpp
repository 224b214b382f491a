// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon whose paths to the upstreams fail: what becomes of its callers' requests, and of those that other daemons forward.

#include "portpaddle/reachability/service_reach.h"
#include "portpaddle/store_following/entry_choice.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// A daemon that reaches neither of its two upstreams, and another daemon of its region.
class CutOffFixture : public GatewaySite
{
public:
    CutOffFixture()
    {
        addUpstream("u1", first.address());
        addUpstream("u2", second.address());
        addDaemonBeside("beside", beside.address());
    }

    void cutOff()
    {
        first.refuseConnections();
        second.refuseConnections();
    }

    /// Lets the daemon notice that it reaches no upstream.
    void noticeCut()
    {
        cutOff();
        REQUIRE(ask("/single/a", "first", {}, "body").status == 200);
    }

    std::vector<std::string> entries()
    {
        std::vector<std::string> addresses;
        onLoop([&addresses](Gateway &gateway) { addresses = entriesFor({ "north", "north-1" }, gateway, BootClock::now()); });
        return addresses;
    }

    ScriptedUpstream first{ echo };
    ScriptedUpstream second{ echo };
    ScriptedUpstream beside{ echo };
};

} // namespace

TEST_CASE_FIXTURE(CutOffFixture,
                  "Daemon cut off from all upstreams, a daemon beside it reaches them, serves its callers through it")
{
    cutOff();
    for (const std::string id : { "id1", "id2", "id3" }) {
        const SeenAnswer answer = ask("/single/a", id, {}, "body");
        CHECK(answer.status == 200);
        CHECK(answer.body == "body");
    }
    CHECK(beside.seen().size() == 3);
}

TEST_CASE_FIXTURE(CutOffFixture, "Daemon cut off from all upstreams, request of another daemon, is refused and not sent on")
{
    noticeCut();
    const SeenAnswer answer = askAsDaemon("/plain/a", "id1", {}, "body");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Cut-Off: 1") != std::string::npos);
    CHECK(beside.seen().size() == 1);
}

TEST_CASE_FIXTURE(CutOffFixture, "Daemon cut off from all upstreams, daemon beside it is cut off as well, refuses at once")
{
    onLoop([](Gateway &gateway) {
        Wire::LoadDigestT digest;
        digest.daemon = "beside";
        digest.region = "north";
        digest.sequence = 2;
        digest.phase = Wire::DaemonPhase::Serving;
        digest.unreachable = bitOf(*gateway.view(), "s");
        gateway.applyDigest(digest);
    });
    cutOff();
    CHECK(ask("/single/a", "id1", {}, "body").status == 503);
    CHECK(beside.seen().empty());
}

TEST_CASE_FIXTURE(CutOffFixture,
                  "Daemon cut off from all upstreams, daemon beside it dies during a request, serves it through another")
{
    ScriptedUpstream dying([](const SeenRequest &) { return ScriptedAnswer{ {}, ScriptedAnswer::Then::Reset }; });
    addDaemonBeside("dying", dying.address());
    cutOff();
    for (int index = 0; index < 8; ++index) {
        CHECK(ask("/plain/a", "id" + std::to_string(index), {}, "body").status == 200);
    }
    CHECK_FALSE(dying.seen().empty());
}

TEST_CASE_FIXTURE(CutOffFixture, "Daemon cut off from all upstreams, path works again, is used again")
{
    noticeCut();
    ScriptedUpstream third(echo);
    addUpstream("u3", third.address());
    const Suspension probeInterval(1s);
    onLoop([](Gateway &gateway) { gateway.tick(); });
    CHECK(eventually([&third] { return third.connections() > 0; }));
    CHECK(eventually([&] { return ask("/single/a", "id", {}, "body").status == 200 && !third.seen().empty(); }));
}

TEST_CASE_FIXTURE(CutOffFixture, "Daemon cut off from all upstreams, tells other daemons and names the ones that reach them")
{
    CHECK(entries().size() == 2);
    noticeCut();
    CHECK(entries().size() == 1);
    onLoop([](Gateway &gateway) {
        gateway.beginDigestRound(DigestReach::OtherRegions);
        for (const Wire::LoadDigestT &digest : gateway.digests(DigestReach::OtherRegions)) {
            CHECK(digest.unreachable == bitOf(*gateway.view(), "s"));
            CHECK(digest.services.empty());
        }
    });
}

TEST_CASE_FIXTURE(GatewaySite, "Request, daemon of another region is cut off, is sent to the next daemon there")
{
    ScriptedUpstream cutOff([](const SeenRequest &) {
        return ScriptedAnswer{
            "HTTP/1.1 503 Cut\r\nX-Request-Id: @id\r\nX-Portpaddle-Outcome: not_run\r\nX-Portpaddle-Sends: 0\r\n"
            "X-Portpaddle-Cut-Off: 1\r\nContent-Length: 0\r\n\r\n"
        };
    });
    ScriptedUpstream whole(echo);
    addRemoteDaemon("e1", "east", cutOff.address(), {});
    addRemoteDaemon("e2", "east", whole.address(), {});
    for (int index = 0; index < 8; ++index) {
        CHECK(ask("/single/a", "id" + std::to_string(index), {}, "body").status == 200);
    }
    CHECK(cutOff.seen().size() <= 1);
    CHECK(whole.seen().size() == 8);
}

TEST_CASE_FIXTURE(GatewaySite, "Request, upstreams of its service that send nothing, teaches nothing about the time of a prefill")
{
    routes.services["s"].memoryTokens = 100'000;
    publishRoutes();
    ScriptedUpstream silent([](const SeenRequest &) { return ScriptedAnswer{ {}, ScriptedAnswer::Then::Hang }; });
    addUpstream("u1", silent.address());
    RawCaller caller(address());
    caller.send(request("/stream/a", "id1", "X-Token-Counts: 2000,10\r\n", "body"));
    REQUIRE(eventually([&silent] { return !silent.seen().empty(); }));
    caller.leave();
    std::size_t unfinished = 0;
    REQUIRE(eventually([this, &unfinished] {
        std::size_t inProgress = 0;
        onLoop([&](Gateway &gateway) {
            inProgress = gateway.inProgress();
            for (const Wire::LoadDigestT &digest : gateway.digests(DigestReach::OwnRegion)) {
                unfinished += digest.first_token_times.size();
            }
        });
        return inProgress == 0;
    }));
    CHECK(unfinished == 0);
}

TEST_CASE("Service reach, failed connections, tell the path of the daemon from single upstreams")
{
    const SteadyTime now = BootClock::now();
    ServiceReach reach;
    reach.connectFailed("u1", 4, now);
    reach.connectFailed("u1", 4, now);
    CHECK(reach.reach() == Reach::Whole);
    reach.connectFailed("u2", 4, now);
    CHECK(reach.reach() == Reach::None);
    reach.heard(now + 1ms);
    CHECK(reach.reach() == Reach::OpenConnections);
    reach.connectFailed("u2", 4, now + 10ms);
    CHECK(reach.reach() == Reach::OpenConnections);
    reach.connectFailed("u1", 4, now + 5s);
    CHECK(reach.reach() == Reach::None);
    reach.connected();
    CHECK(reach.reach() == Reach::Whole);
}

TEST_CASE("Service reach, one upstream, is lost with its connection")
{
    ServiceReach reach;
    reach.connectFailed("u1", 1, BootClock::now());
    CHECK(reach.reach() == Reach::None);
}

TEST_CASE("Service reach, two failures long after each other, do not count together")
{
    ServiceReach reach;
    const SteadyTime now = BootClock::now();
    reach.connectFailed("u1", 4, now);
    reach.connectFailed("u2", 4, now + 1min);
    CHECK(reach.reach() == Reach::Whole);
}
