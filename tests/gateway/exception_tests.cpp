// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Exceptions end what they belong to, with a true answer where none has begun, and nothing else.

#include "portpaddle/net/spawn.h"
#include "portpaddle/streams/run_move.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/plain_orders.h"
#include "support/scripted_upstream.h"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <stdexcept>

using namespace Portpaddle;

namespace {

/// Orders whose answers cannot be read.
class ThrowingOrders : public PlainOrders
{
public:
    std::optional<RunMemory> memoryIn(unsigned, const std::string &) const override
    {
        throw std::runtime_error("unreadable");
    }
};

/// A handler of requests that throws before it answers.
class ThrowingHandler : public RequestHandler
{
public:
    Task<void> serve(CallerRequest, CallerWriter &, std::function<void()> &) override
    {
        throw std::runtime_error("no answer");
        co_return;
    }
    CallerLimits limits() const override
    {
        return {};
    }
    const HeaderNames &names() const override
    {
        return names_;
    }

private:
    HeaderNames names_;
};

/// Whether no request is left; the caller has its answer before the gateway is done with the request.
bool becomesIdle(GatewaySite &site)
{
    return eventually([&site] {
        std::size_t left = 0;
        site.onLoop([&left](Gateway &gateway) { left = gateway.inProgress(); });
        return left == 0;
    });
}

/// Three upstreams that are alike, so that each choice takes a random number for each after the first.
class AlikeUpstreamsFixture : public GatewaySite
{
public:
    AlikeUpstreamsFixture()
    {
        for (const char *id : { "u1", "u2", "u3" }) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) {
                return isBroken ? ScriptedAnswer{ {}, ScriptedAnswer::Then::Reset } : echo(request);
            }));
            addUpstream(id, upstreams.back()->address());
        }
    }

    void checkGoesOn()
    {
        isBroken = false;
        CHECK(ask("/plain/a", "id2", {}, "next").body == "next");
        CHECK(becomesIdle(*this));
    }

    std::atomic<bool> isBroken{ false };
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
};

} // namespace

TEST_CASE("Event loop, exception leaves a handler, goes on with the others")
{
    boost::asio::io_context loop{ 1 };
    bool reached = false;
    boost::asio::post(loop, [] { throw std::runtime_error("first"); });
    boost::asio::post(loop, [] { throw 2; });
    boost::asio::post(loop, [&reached] { reached = true; });
    runLoop(loop);
    CHECK(reached);
}

TEST_CASE("Thread, exception leaves its body, runs it again and does not end the process")
{
    std::atomic<unsigned> runs{ 0 };
    Thread thread("fails_once", [&runs] {
        if (++runs == 1) {
            throw std::runtime_error("once");
        }
    });
    thread.join();
    CHECK(runs == 2);
}

TEST_CASE("Session, handler throws, closes the connection instead of leaving the caller without an answer")
{
    boost::asio::io_context loop{ 1 };
    ThrowingHandler handler;
    SessionListener listener(loop.get_executor(), SessionPeer::Caller, handler, 8);
    REQUIRE(isOk(listener.listen("127.0.0.1:0")));
    Thread thread("sessions", [&loop] { runLoop(loop); });
    RawCaller caller(listener.address());
    caller.send(GatewaySite::request("/plain/a", "id1"));
    CHECK(caller.receive().closed);
    CHECK_FALSE(caller.hung());
    loop.stop();
}

TEST_CASE_FIXTURE(AlikeUpstreamsFixture, "Request, exception before any upstream is asked, is answered as not run")
{
    random.failAfter(1);
    const SeenAnswer answer = ask("/plain/a", "id1");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After: ") != std::string::npos);
    checkGoesOn();
}

TEST_CASE_FIXTURE(AlikeUpstreamsFixture, "Request, exception after an upstream was asked, is answered as one that may have run")
{
    isBroken = true;
    random.failAfter(3);
    CHECK(ask("/plain/a", "id1").status == 502);
    checkGoesOn();
}

TEST_CASE_FIXTURE(AlikeUpstreamsFixture, "Relayed request, exception before any upstream is asked, is handed back as not run")
{
    random.failAfter(1);
    const SeenAnswer answer = askAsDaemon("/plain/a", "id1");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    checkGoesOn();
}

TEST_CASE_FIXTURE(GatewaySite, "Stream, event id too long for a header, ends incomplete and leaves no trace of its request")
{
    const std::string longId(70'000, '7');
    const auto script = [&longId](const SeenRequest &request) {
        const std::string event = "id: " + longId + "\ndata: x\n\n";
        return ScriptedAnswer{ streamHead(idOf(request)) + fmt::format("{:x}\r\n{}\r\n", event.size(), event),
                               ScriptedAnswer::Then::Reset };
    };
    const ScriptedUpstream first(script);
    const ScriptedUpstream second(script);
    addUpstream("u1", first.address());
    addUpstream("u2", second.address());
    const PlainOrders orders;
    onLoop([&orders](Gateway &gateway) { gateway.setOrders(&orders); });
    routes.services["s"].movesMemory = true;
    publishRoutes();
    RawCaller caller(address());
    caller.send(request("/resume/a", "id1"));
    CHECK_FALSE(caller.receive().whole);
    CHECK_FALSE(caller.hung());
    CHECK(first.seen().size() + second.seen().size() == 1);
    CHECK(becomesIdle(*this));
    // A registration that was left would have the run of a request that is gone moved.
    announceEnd("u1", first.address());
    announceEnd("u2", second.address());
    onLoop([](Gateway &gateway) { gateway.tick(); });
    CHECK(first.seen().size() + second.seen().size() == 1);
}

TEST_CASE("Run move, answer to its order throws, ends so that nobody waits for it")
{
    constexpr std::chrono::seconds hangBound{ 20 };
    const ScriptedUpstream engine(
        [](const SeenRequest &) { return ScriptedAnswer{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1" }; });
    boost::asio::io_context loop{ 1 };
    ConnectionPool pool(loop.get_executor());
    const ThrowingOrders orders;
    RunMove move(loop.get_executor(), pool, [](const UpstreamRecord &, const boost::beast::http::response_header<> &) {});
    UpstreamRecord source;
    source.id = "u1";
    source.address = engine.address();
    Target target;
    target.upstream = source;
    move.begin("id1", source, target);
    bool ended = false;
    std::optional<MovedRun> moved;
    spawnTask(loop.get_executor(), "wait", [&]() -> Task<void> {
        moved = co_await move.awaitEnd();
        ended = true;
    });
    spawnTask(loop.get_executor(), "move",
              [&]() -> Task<void> { co_await move.run(orders, MoveWay::CopyFirst, BootClock::now() + hangBound); });
    loop.run_for(hangBound);
    CHECK(ended);
    CHECK_FALSE(moved.has_value());
}
