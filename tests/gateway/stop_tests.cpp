// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A stopping daemon accepts only requests that end before the daemon does.

#include "portpaddle/gateway/stop_rules.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <atomic>
#include <list>

using namespace Portpaddle;

namespace {

constexpr std::chrono::minutes stopDuration{ 10 };
// An idle engine takes a little over 3 ms per token.
constexpr unsigned tokensInStop = std::chrono::milliseconds(stopDuration).count() / 3;

std::string tokensOut(unsigned maxTokens)
{
    return fmt::format("X-Token-Counts: 1000,{}\r\n", maxTokens);
}

/// A daemon at the beginning of its stop, with routes whose time-out is longer than the stop.
class StoppingFixture : public GatewaySite
{
public:
    StoppingFixture()
        : upstream(
            [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2) + lastChunk }; })
    {
        for (Route &route : routes.routes) {
            route.timeout = std::chrono::hours(1);
        }
        publishRoutes();
        addUpstream("u1", upstream.address());
        onLoop([](Gateway &gateway) {
            const SteadyTime now = BootClock::now();
            gateway.beginDrain({ now + stopDuration / 2, now + stopDuration });
        });
    }

    ScriptedUpstream upstream;
};

} // namespace

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, stream predicted to end far beyond the stop, is refused as not run")
{
    const SeenAnswer answer = ask("/stream/a", "id1", tokensOut(tokensInStop * 2));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After") != std::string::npos);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, stream predicted to end long before the stop, is served")
{
    CHECK(ask("/stream/a", "id1", tokensOut(tokensInStop / 10)).whole);
    CHECK(upstream.seen().size() == 1);
}

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, relayed stream that may outlast the stop, is refused as not run")
{
    const SeenAnswer answer = askAsDaemon("/stream/a", "id1", tokensOut(tokensInStop / 10));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Sends: 0") != std::string::npos);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, relayed stream bound to end before the stop, is served")
{
    CHECK(askAsDaemon("/stream/a", "id1", tokensOut(100) + "X-Request-Timeout-Ms: 20000\r\n").whole);
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, stop that begins during a stream, closes the connection after it")
{
    std::atomic<bool> go{ false };
    ScriptedUpstream upstream([&](const SeenRequest &request) {
        eventually([&] { return go.load(); });
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 1) + lastChunk };
    });
    addUpstream("u1", upstream.address());
    RawCaller caller(address());
    caller.send(request("/stream/a", "id1"));
    CHECK(eventually([&] { return upstream.seen().size() == 1; }));
    onLoop([](Gateway &gateway) { gateway.beginDrain({ SteadyTime::max(), SteadyTime::max() }); });
    go = true;
    CHECK(caller.receive().whole);
    caller.send(request("/stream/a", "id2"));
    CHECK(caller.closedByPeer());
    CHECK(upstream.seen().size() == 1);
}

TEST_CASE_FIXTURE(GatewaySite,
                  "Stopping daemon, late in its stop, accepts only requests that end in time and refuses others as not run")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    routes.routes[0].timeout = Millis(1'000);
    routes.routes[1].timeout = Millis(3'600'000);
    publishRoutes();
    onLoop([](Gateway &gateway) {
        const SteadyTime now = BootClock::now();
        gateway.beginDrain({ now, now + std::chrono::minutes(10) });
    });
    CHECK(ask("/plain/a", "id1").status == 200);
    CHECK(ask("/once/a", "id2").status == 503);
    CHECK(upstream.seen().size() == 1);
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, request that its upstream declines late in the stop, is not sent to another one")
{
    std::atomic<bool> go{ false };
    std::atomic<unsigned> sends{ 0 };
    const ScriptedUpstream::Script firstDeclines = [&](const SeenRequest &request) {
        if (++sends > 1) {
            return echo(request);
        }
        eventually([&] { return go.load(); });
        return ScriptedAnswer{ notRunAnswer };
    };
    ScriptedUpstream first(firstDeclines);
    ScriptedUpstream second(firstDeclines);
    addUpstream("u1", first.address());
    addUpstream("u2", second.address());
    for (Route &route : routes.routes) {
        route.timeout = std::chrono::hours(1);
    }
    publishRoutes();
    for (const char *path : { "/plain/a", "/once/a" }) {
        sends = 0;
        go = false;
        onLoop([](Gateway &gateway) { gateway.beginDrain({ SteadyTime::max(), SteadyTime::max() }); });
        RawCaller caller(address());
        caller.send(request(path, "id1"));
        CHECK(eventually([&] { return sends == 1; }));
        onLoop([](Gateway &gateway) {
            const SteadyTime now = BootClock::now();
            gateway.beginDrain({ now, now + stopDuration });
        });
        go = true;
        const SeenAnswer answer = caller.receive();
        CHECK(answer.status == 503);
        CHECK(answer.head.find("Retry-After") != std::string::npos);
        CHECK(sends == 1);
    }
}

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, request of unknown duration that may run only once, is refused as not run")
{
    CHECK(ask("/once/a", "id1").status == 503);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(StoppingFixture, "Stopping daemon, request of unknown duration that may run twice, is served")
{
    CHECK(ask("/plain/a", "id1").status == 200);
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, request that arrives before its idle connection is closed, is answered")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    std::list<RawCaller> callers;
    for (int index = 0; index < 8; ++index) {
        callers.emplace_back(address());
        callers.back().send(request("/plain/a", "first" + std::to_string(index)));
        CHECK(callers.back().receive().status == 200);
    }
    onLoop([](Gateway &) {});
    closeToCallers([&] {
        for (RawCaller &caller : callers) {
            caller.send(request("/plain/a", "second"));
            CHECK(eventually([&] { return caller.hasDelivered(); }));
        }
    });
    for (RawCaller &caller : callers) {
        CHECK(caller.receive().whole);
    }
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, requests on connections that wait to be accepted, are answered")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    std::list<RawCaller> callers;
    closeToCallers([&] {
        for (int index = 0; index < 8; ++index) {
            callers.emplace_back(address());
            callers.back().send(request("/plain/a", "id" + std::to_string(index)));
            CHECK(eventually([&] { return callers.back().hasDelivered(); }));
        }
    });
    for (RawCaller &caller : callers) {
        CHECK(caller.receive().whole);
    }
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, first request of a caller that has just connected, is answered")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    RawCaller caller(address());
    onLoop([](Gateway &) {});
    onLoop([](Gateway &) {});
    closeToCallers([] {});
    caller.send(request("/plain/a", "id1"));
    CHECK(caller.receive().whole);
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, caller that connects and sends nothing, is disconnected after a few ticks")
{
    constexpr int ticks = 10;
    RawCaller caller(address());
    for (int tick = 0; tick < ticks; ++tick) {
        closeToCallers([] {});
    }
    CHECK(caller.closedByPeer());
    CHECK_FALSE(caller.hung());
}

TEST_CASE_FIXTURE(GatewaySite, "Stopping daemon, requests without an answer at its end, are told that they may have run")
{
    std::atomic<bool> go{ false };
    ScriptedUpstream upstream([&](const SeenRequest &request) {
        eventually([&] { return go.load(); });
        return echo(request);
    });
    addUpstream("u1", upstream.address());
    for (Route &route : routes.routes) {
        route.timeout = std::chrono::hours(1);
    }
    publishRoutes();
    RawCaller plain(address());
    RawCaller once(address());
    plain.send(request("/plain/a", "id1"));
    once.send(request("/once/a", "id2"));
    CHECK(eventually([&] { return upstream.seen().size() == 2; }));
    onLoop([](Gateway &gateway) {
        gateway.beginDrain({ SteadyTime::max(), SteadyTime::max() });
        gateway.answerUnfinished();
    });
    for (RawCaller *caller : { &plain, &once }) {
        const SeenAnswer answer = caller->receive();
        CHECK(answer.status == 502);
        CHECK(answer.whole);
    }
    go = true;
    CHECK(upstream.seen().size() == 2);
}

TEST_CASE("Stop rules, deadline just before the end of the stop, leaves no time for the answer at the deadline")
{
    const SteadyTime ordered = SteadyTime{} + std::chrono::hours(1);
    const StopDeadlines stop{ ordered + Millis(2'600), ordered + Millis(7'500) };
    const SteadyTime late = ordered + Millis(4'474);
    CHECK(decideWhileStopping(stop, { ordered + Millis(7'474), false, false }, late) == StopVerdict::Refuse);
    CHECK(decideWhileStopping(stop, { ordered + Millis(7'000), false, false }, late) == StopVerdict::Accept);
}

TEST_CASE("Stop rules, request that may outlast the stop, is accepted only early, from a caller, and if it may be cut")
{
    const SteadyTime ordered = SteadyTime{} + std::chrono::hours(1);
    const StopDeadlines stop{ ordered + Millis(2'600), ordered + Millis(7'500) };
    const SteadyTime deadline = ordered + Millis(30'000);
    const SteadyTime early = ordered + Millis(1'000);
    CHECK(decideWhileStopping(stop, { deadline, false, false }, early) == StopVerdict::AcceptIfLikely);
    CHECK(decideWhileStopping(stop, { deadline, false, true }, early) == StopVerdict::Refuse);
    CHECK(decideWhileStopping(stop, { deadline, true, false }, early) == StopVerdict::Refuse);
    CHECK(decideWhileStopping(stop, { deadline, false, false }, ordered + Millis(2'600)) == StopVerdict::Refuse);
}
