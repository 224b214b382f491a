// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Upstreams that fall silent for a while and go on: their runs end only once another upstream has taken the request over.

#include "portpaddle/placement/upstream_loads.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

ScriptedAnswer refuse(const SeenRequest &)
{
    return { notRunAnswer };
}

ScriptedAnswer hang(const SeenRequest &)
{
    return { "", Then::Hang };
}

/// The upstream "u1" sends the beginning of an answer, is silent until the second one has been asked, and goes on. Nothing but
/// the end of the other attempt decides when the silent run ends.
class SilentUpstreamFixture : public GatewaySite
{
public:
    SilentUpstreamFixture()
    {
        terms.maxSharedRun = std::chrono::hours(1);
        setOptions();
        addUpstream("u1", silent.address());
    }

    ~SilentUpstreamFixture()
    {
        isOver = true;
    }

    /// Sends a request, adds the second upstream once the silent one has the request, and returns the answer.
    SeenAnswer askBeside(const std::string &path, ScriptedUpstream::Script script)
    {
        secondScript = std::move(script);
        RawCaller caller(address());
        caller.send(request(path, "id1"));
        CHECK(eventually([this] { return !silent.seen().empty(); }));
        addUpstream("u2", second.address());
        return caller.receive();
    }

    ScriptedAnswer silentAnswer(const SeenRequest &request)
    {
        const bool streams = request.requestLine.find("/resume/") != std::string::npos;
        ScriptedAnswer answer;
        answer.bytes = streams ? streamHead(idOf(request)) + eventChunk(1, 2) : "";
        answer.afterWriting = [this] { eventually([this] { return isOver || goesOn(); }); };
        answer.endless = streams ? eventChunk(3, 4) + lastChunk : laterAnswer;
        return answer;
    }

    /// What the silent upstream answers to a request that is no stream.
    std::string laterAnswer = wholeAnswer("id1", "whole");
    std::atomic<bool> isOver{ false };
    ScriptedUpstream::Script secondScript;
    ScriptedUpstream second{ [this](const SeenRequest &request) { return secondScript(request); } };
    std::function<bool()> goesOn = [this] { return !second.seen().empty(); };
    ScriptedUpstream silent{ [this](const SeenRequest &request) { return silentAnswer(request); } };
};

} // namespace

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, next one refuses the rest of the stream, its run goes on")
{
    const SeenAnswer answer = askBeside("/resume/a", refuse);
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
    CHECK(second.seen().size() == 1);
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, next one ends without an answer, its run goes on")
{
    const SeenAnswer answer = askBeside("/resume/a", [](const SeenRequest &) { return ScriptedAnswer{ "", Then::Reset }; });
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, next one cannot be reached, its run goes on")
{
    second.refuseConnections();
    goesOn = [] {
        std::this_thread::sleep_for(upstreamSilenceBound * 2);
        return true;
    };
    const SeenAnswer answer = askBeside("/resume/a", echo);
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, heard again before the next one answers, its run goes on")
{
    const SeenAnswer answer = askBeside("/resume/a", hang);
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
    CHECK(eventually([this] { return second.closedByPeer() == 1; }));
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream without an answer, next one refuses, its answer is awaited")
{
    const SeenAnswer answer = askBeside("/plain/a", refuse);
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, next one goes on with the stream, is left")
{
    goesOn = [] { return false; };
    const SeenAnswer answer = askBeside("/resume/a", [](const SeenRequest &request) {
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(3, 5) + lastChunk };
    });
    isOver = true;
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 5));
    CHECK(second.seen().size() == 1);
    CHECK(eventually([this] { return silent.closedByPeer() == 1; }));
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream and one that hangs, third one goes on with the stream")
{
    for (Route &route : routes.routes) {
        route.attempts = 3;
    }
    publishRoutes();
    terms.maxSharedRun = std::chrono::milliseconds(1);
    setOptions();
    goesOn = [] { return false; };
    std::atomic<unsigned> asked{ 0 };
    const auto script = [&asked](const SeenRequest &request) {
        const bool hangs = asked++ == 0;
        return hangs ? hang(request) : ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk };
    };
    ScriptedUpstream third(script);
    secondScript = script;
    RawCaller caller(address());
    caller.send(request("/resume/a", "id1"));
    CHECK(eventually([this] { return !silent.seen().empty(); }));
    addUpstream("u2", second.address());
    addUpstream("u3", third.address());
    const SeenAnswer answer = caller.receive();
    isOver = true;
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
    CHECK(asked == 2);
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, next one answers with a failure, its run goes on")
{
    const auto fail = [](const SeenRequest &request) {
        return ScriptedAnswer{ "HTTP/1.1 500 Failed\r\nX-Request-Id: " + idOf(request) + "\r\nContent-Length: 0\r\n\r\n" };
    };
    SUBCASE("stream that has begun")
    {
        const SeenAnswer answer = askBeside("/resume/a", fail);
        CHECK(answer.whole);
        CHECK(answer.body == events(1, 4));
    }
    SUBCASE("no answer yet")
    {
        const SeenAnswer answer = askBeside("/plain/a", fail);
        CHECK(answer.status == 200);
        CHECK(answer.body == "whole");
    }
}

TEST_CASE_FIXTURE(SilentUpstreamFixture,
                  "Silent upstream that refuses at last, next one works on the request, is answered by that")
{
    laterAnswer = "HTTP/1.1 503 Busy\r\nX-Request-Id: id1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = askBeside("/plain/a", [this](const SeenRequest &request) {
        eventually([this] { return isOver || count(Counter::SilentUpstreamsLeft) == 1; });
        return echo(request);
    });
    CHECK(answer.status == 200);
    CHECK(second.seen().size() == 1);
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Silent upstream, the next attempt cannot be composed, its run goes on")
{
    // More than a header field can hold.
    const std::string longId(70'000, '7');
    ScriptedUpstream longIds([&longId](const SeenRequest &request) {
        ScriptedAnswer answer;
        const std::string event = "id: " + longId + "\ndata: x\n\n";
        answer.bytes = streamHead(idOf(request)) + fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        answer.afterWriting = [] { std::this_thread::sleep_for(upstreamSilenceBound * 2); };
        answer.endless = eventChunk(8, 8) + lastChunk;
        return answer;
    });
    removeUpstream("u1");
    addUpstream("u3", longIds.address());
    secondScript = hang;
    RawCaller caller(address());
    caller.send(request("/resume/a", "id1"));
    CHECK(eventually([&longIds] { return !longIds.seen().empty(); }));
    addUpstream("u2", second.address());
    const SeenAnswer answer = caller.receive();
    CHECK(answer.whole);
    std::size_t inProgress = 1;
    CHECK(eventually([this, &inProgress] {
        onLoop([&inProgress](Gateway &gateway) { inProgress = gateway.inProgress(); });
        return inProgress == 0;
    }));
}

TEST_CASE_FIXTURE(SilentUpstreamFixture, "Caller that does not read for a while, its upstream is not taken for silent")
{
    for (Route &route : routes.routes) {
        route.timeout = std::chrono::hours(1);
    }
    publishRoutes();
    constexpr unsigned eventCount = 512;
    std::string stream;
    for (unsigned number = 1; number <= eventCount; ++number) {
        const std::string event = fmt::format("id: {}\ndata: {}\n\n", number, std::string(32 * 1024, 'x'));
        stream += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    ScriptedUpstream fast(
        [&stream](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + stream + lastChunk }; });
    removeUpstream("u1");
    addUpstream("u3", fast.address());
    secondScript = hang;
    RawCaller caller(address());
    caller.send(request("/resume/a", "id1"));
    CHECK(eventually([&fast] { return !fast.seen().empty(); }));
    addUpstream("u2", second.address());
    std::this_thread::sleep_for(upstreamSilenceBound * 2);
    const SeenAnswer answer = caller.receive();
    CHECK(answer.whole);
    CHECK(second.seen().empty());
}
