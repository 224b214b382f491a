// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Upstreams that fall over when they reject more than a number of requests in a second.

#include "portpaddle/upstream_places/brittle_services.h"
#include "support/brittle_region.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t usualRoom = 20;
constexpr std::size_t smallRoom = 8;
// A run takes 100 ms.
constexpr double runsPerSecond = 10;
constexpr double allowedServedShare = 0.9;

/// A region whose upstreams get less room some seconds after they have begun to say that they are brittle.
struct SqueezedRegion
{
    explicit SqueezedRegion(const BrittleRegionTerms &terms) : region(terms)
    {
        capacity = double(terms.upstreams) * smallRoom * runsPerSecond;
    }

    /// Returns the part of what the upstreams can run that was served in the time with little room.
    double servedAt(double load)
    {
        region.setRoom(usualRoom);
        region.run(4s, load * capacity);
        region.setBrittle();
        region.run(5s, load * capacity);
        region.setRoom(smallRoom);
        return region.run(20s, load * capacity) / (std::min(load, 1.0) * capacity * 20);
    }

    BrittleRegion region;
    double capacity = 0;
};

} // namespace

TEST_CASE("Brittle upstreams, less room and any number of daemons, do not fall and are kept busy")
{
    for (const double borne : { 4.0, 10.0, 20.0 }) {
        for (const std::size_t daemons : { 1U, 8U, 21U, 61U, 295U }) {
            for (const double load : { 0.9, 1.3, 2.5 }) {
                CAPTURE(borne);
                CAPTURE(daemons);
                CAPTURE(load);
                SqueezedRegion squeezed({ daemons, 6, borne });
                CHECK(squeezed.servedAt(load) >= allowedServedShare);
                CHECK(squeezed.region.falls() == 0);
                CHECK(static_cast<double>(squeezed.region.worstSecond()) <= borne);
            }
        }
    }
}

TEST_CASE("Brittle upstream, pressed by several daemons while its room shrinks, rejects no more than it bears and is kept busy")
{
    for (const std::size_t daemons : { 1U, 4U, 8U }) {
        CAPTURE(daemons);
        BrittleRegion region({ daemons, 1, 10 });
        region.setBrittle();
        region.setRoom(40);
        region.run(8s, 500);
        region.setRoom(16);
        // Sixteen places, 100 ms a request: 3,200 in 20 s.
        CHECK(region.run(20s, 500) >= allowedServedShare * 3'200);
        CHECK(region.worstSecond() <= 10);
    }
}

TEST_CASE("Brittle upstreams, that bear a single rejection, do not fall")
{
    for (const std::size_t daemons : { 1U, 8U, 295U }) {
        CAPTURE(daemons);
        SqueezedRegion squeezed({ daemons, 6, 1 });
        MESSAGE("served ", squeezed.servedAt(1.3));
        CHECK(squeezed.region.falls() == 0);
    }
}

TEST_CASE("Brittle upstreams, load in waves, do not fall")
{
    for (const std::size_t daemons : { 8U, 61U, 295U }) {
        CAPTURE(daemons);
        SqueezedRegion squeezed({ daemons, 6, 4 });
        squeezed.servedAt(0.9);
        for (unsigned wave = 0; wave < 10; ++wave) {
            squeezed.region.run(1s, 2.5 * squeezed.capacity);
            squeezed.region.run(1s, 0.6 * squeezed.capacity);
        }
        CHECK(squeezed.region.falls() == 0);
    }
}

TEST_CASE("Brittle upstreams, full when they begin to say so, do not fall")
{
    for (const std::size_t daemons : { 8U, 61U }) {
        CAPTURE(daemons);
        SqueezedRegion squeezed({ daemons, 6, 4 });
        squeezed.region.setRoom(smallRoom);
        squeezed.region.run(4s, 0.5 * squeezed.capacity);
        squeezed.region.setBrittle();
        squeezed.region.run(10s, 2.5 * squeezed.capacity);
        CHECK(squeezed.region.falls() == 0);
    }
}

TEST_CASE("Brittle upstreams, a part of the news between daemons lost, do not fall")
{
    BrittleRegionTerms terms{ 21, 6, 10 };
    terms.lost = 0.1;
    SqueezedRegion squeezed(terms);
    squeezed.servedAt(1.3);
    CHECK(squeezed.region.falls() == 0);
}

TEST_CASE("Brittle upstreams, daemons killed in series and all at once, do not fall")
{
    SqueezedRegion squeezed({ 8, 6, 10 });
    squeezed.servedAt(1.3);
    for (std::size_t daemon = 0; daemon < 8; ++daemon) {
        squeezed.region.restart(daemon);
        squeezed.region.run(1s, 1.3 * squeezed.capacity);
    }
    for (std::size_t daemon = 0; daemon < 8; ++daemon) {
        squeezed.region.restart(daemon);
    }
    squeezed.region.run(10s, 1.3 * squeezed.capacity);
    CHECK(squeezed.region.falls() == 0);
}

TEST_CASE_FIXTURE(GatewaySite, "Brittle service, is no longer brittle, only by an answer to a request sent after it said so")
{
    const auto services = std::make_shared<ServiceMap>();
    services->services["a"].name = "a";
    const auto view = std::make_shared<FleetView>();
    view->services = services;
    const StableOwner owners("d1");
    BrittleServices brittle("north", owners);
    const SteadyTime now = BootClock::now();
    brittle.setView(view, now);
    brittle.answered("a", { LimitKind::Named, 2 }, false, now, now);
    CHECK(brittle.borne("a", now) == 2);
    brittle.answered("a", {}, true, now - 1s, now + 3s);
    CHECK(brittle.borne("a", now + 3s) == 2);
    brittle.answered("a", {}, true, now + 3s, now + 4s);
    CHECK_FALSE(brittle.borne("a", now + 4s));
}

TEST_CASE("Upstream room, rejection that reports the load, is lowered to it at once")
{
    UpstreamRoom room;
    const SteadyTime now = BootClock::now();
    room.setBorne(10);
    for (PlaceToken token = 1; token <= 30; ++token) {
        room.confirm(token, now);
    }
    room.reject(30, { 6, 2ms }, now);
    CHECK(room.proven() == 6);
}

TEST_CASE("Upstream room, places that nobody confirms, are free again")
{
    UpstreamRoom room;
    const SteadyTime now = BootClock::now();
    room.confirm(1, now);
    room.confirm(2, now);
    room.confirm(2, now + 900ms);
    room.dropLapsed(now + 1'100ms);
    CHECK(room.occupied() == 1);
}

TEST_CASE_FIXTURE(GatewaySite, "Request, brittle upstream without room, is not sent while the rejections it bears are spent")
{
    for (Route &route : routes.routes) {
        // No request waits long for room.
        route.targetLatency = Millis(20);
    }
    publishRoutes();
    ScriptedUpstream full([](const SeenRequest &) {
        return ScriptedAnswer{
            "HTTP/1.1 503 Full\r\nX-Request-Id: @id\r\nX-Not-Run: 1\r\nX-Upstream-Brittle: 0.1\r\nContent-Length: 0\r\n\r\n"
        };
    });
    addUpstream("u1", full.address());
    onLoop([](Gateway &gateway) { gateway.tick(); });
    for (int index = 0; index < 40; ++index) {
        CHECK(ask("/single/a", "id" + std::to_string(index), {}, "body").status == 503);
    }
    // A second rejection is borne ten seconds after the first.
    CHECK(full.seen().size() == 1);
}
