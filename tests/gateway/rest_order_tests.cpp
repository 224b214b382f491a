// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What comes in place of the rest of a stream and is none: it begins with events that the caller has, which may be another text.

#include "portpaddle/base/metrics.h"
#include "portpaddle/stream_versions/stream_key.h"
#include "portpaddle/streams/event_id.h"
#include "portpaddle/streams/event_splitter.h"
#include "support/gateway_site.h"
#include "support/moving_engines.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

constexpr const char *lastEventTwo = "Last-Event-ID: 2\r\n";

std::string eventWith(const std::string &fields)
{
    return fields + "\n\n";
}

std::string chunkOf(const std::string &text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string versionHeaderLine()
{
    return std::string(streamVersionHeader) + ": " + encodeVersionKey(versionKeyOf("")) + "\r\n";
}

/// Returns @p answer with @p line in its head.
std::string withHeader(std::string answer, const std::string &line)
{
    answer.insert(answer.find("\r\n") + 2, line);
    return answer;
}

/// Three upstreams of one service. The first attempt breaks after event 2, the next one gets what the test sets, later ones the
/// rest.
class FalseRestFixture : public GatewaySite
{
public:
    FalseRestFixture()
    {
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            upstreams[index] = std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) { return script(request); });
            addUpstream(fmt::format("u{}", index), upstreams[index]->address());
        }
        setVersionSet({ { "" }, {}, true, 1 });
    }

    SeenAnswer askFor(unsigned attempts, const std::string &headers = {}, const std::string &path = "/resume/a")
    {
        for (Route &route : routes.routes) {
            route.attempts = attempts;
        }
        publishRoutes();
        return ask(path, "id1", headers);
    }

    ScriptedAnswer script(const SeenRequest &request)
    {
        const bool begins = !request.headers.contains("last-event-id");
        if (begins) {
            return { streamHead(idOf(request)) + eventChunk(1, 2), Then::Close };
        }
        if (falseAnswers++ == 0) {
            return { streamHead(idOf(request)) + falseRest + lastChunk };
        }
        return { streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk };
    }

    std::string falseRest = eventChunk(1, 4);
    std::atomic<unsigned> falseAnswers{ 0 };
    std::array<std::unique_ptr<ScriptedUpstream>, 3> upstreams;
};

/// Another region's daemon begins a stream, hands it over, and begins again in place of the rest.
class FalseRelayFixture : public GatewaySite
{
public:
    FalseRelayFixture()
    {
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            daemons[index] = std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) {
                const bool begins = asked++ == 0;
                const std::string bytes
                    = streamHead(idOf(request)) + (begins ? eventChunk(1, 2) + handOver : eventChunk(1, 4) + lastChunk);
                return ScriptedAnswer{ withHeader(bytes, versionHeaderLine()), begins ? Then::Close : Then::KeepOpen };
            });
            addRemoteDaemon(fmt::format("e{}", index), "east", daemons[index]->address(), keptElsewhere);
        }
    }

    const std::string handOver = "0\r\nX-Portpaddle-Continue-At: u9 10.0.0.1:80/h7\r\n\r\n";
    std::atomic<unsigned> asked{ 0 };
    std::array<std::unique_ptr<ScriptedUpstream>, 2> daemons;
};

/// An engine leaves, and its stream is moved.
class FalseCopyFixture : public MovingEngines
{
public:
    SeenAnswer askWhileEngineLeaves()
    {
        RawCaller caller(address());
        const std::size_t first = beginStream(caller);
        announceEnd(fmt::format("u{}", first), engines[first]->address());
        tickUntilOrdered();
        return caller.receive();
    }
};

} // namespace

TEST_CASE("Event ids, numbers, follow only a lower number")
{
    CHECK(mayFollow("2", "3"));
    CHECK(mayFollow("9", "10"));
    CHECK(mayFollow("2", "4"));
    CHECK(mayFollow("007", "8"));
    CHECK(mayFollow("99999999999999999999998", "99999999999999999999999"));
    CHECK_FALSE(mayFollow("2", "2"));
    CHECK_FALSE(mayFollow("10", "9"));
    CHECK_FALSE(mayFollow("2", "0002"));
    CHECK_FALSE(mayFollow("2", ""));
    CHECK_FALSE(mayFollow("2", "-3"));
    CHECK_FALSE(mayFollow("2", "x"));
}

TEST_CASE("Event ids without an order, do not follow themselves")
{
    CHECK(mayFollow("run-b", "run-a"));
    CHECK(mayFollow("run", "1"));
    CHECK_FALSE(mayFollow("run-a", "run-a"));
    CHECK_FALSE(mayFollow("run-a", ""));
}

TEST_CASE("Rest of a stream, event that is not above the one before it, cut at any byte, ends it there")
{
    const std::string sound = eventWith("id: 3\ndata: c") + eventWith("data: no id");
    const std::string stream = sound + eventWith("id: 3\ndata: again") + eventWith("id: 4\ndata: d");
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        CAPTURE(cut);
        EventSplitter splitter;
        splitter.expectAfter("2");
        const std::string first = splitter.feed(stream.substr(0, cut));
        const std::string second = splitter.outOfOrder() ? std::string() : splitter.feed(stream.substr(cut));
        CHECK(first + second == sound);
        REQUIRE(splitter.outOfOrder());
        CHECK(splitter.outOfOrder()->id == "3");
        CHECK(splitter.outOfOrder()->precedingId == "3");
        CHECK(splitter.lastId() == "3");
    }
}

TEST_CASE("Stream from its beginning, events without ids or with falling ones, is passed on unchanged")
{
    const std::string stream = eventWith("data: a") + eventWith("id: 9\ndata: b") + eventWith("id: 3\ndata: c");
    EventSplitter splitter;
    splitter.expectAfter("");
    CHECK(splitter.feed(stream) == stream);
    CHECK_FALSE(splitter.outOfOrder());
}

// Callers got event 1 two or three times in one answer that was told as sound.
TEST_CASE_FIXTURE(FalseRestFixture, "Resumed stream, next upstream begins again, does not reach the caller twice")
{
    const SeenAnswer answer = askFor(2);
    CHECK(falseAnswers == 1);
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 2));
    CHECK(count(Counter::RestsRejected) == 1);
}

TEST_CASE_FIXTURE(FalseRestFixture, "Resumed stream, next upstream begins again, goes on at the one after it")
{
    SUBCASE("from event 1")
    {
    }
    SUBCASE("from the last event")
    {
        falseRest = eventChunk(2, 4);
    }
    SUBCASE("with an event that has no id")
    {
        falseRest = chunkOf(eventWith("data: other"));
    }
    SUBCASE("with an id that is no number")
    {
        falseRest = chunkOf(eventWith("id: x\ndata: other"));
    }
    SUBCASE("byte by byte")
    {
        falseRest.clear();
        for (const char letter : events(1, 4)) {
            falseRest += chunkOf(std::string(1, letter));
        }
    }
    const SeenAnswer answer = askFor(3);
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
}

TEST_CASE_FIXTURE(FalseRestFixture,
                  "Resumed stream, rest that goes back later on, is passed on up to there and goes on elsewhere")
{
    falseRest = eventChunk(3, 3) + eventChunk(1, 4);
    const SeenAnswer answer = askFor(2);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(FalseRestFixture, "Resumed stream, rest that skips an event, is passed on")
{
    falseRest = eventChunk(4, 5);
    const SeenAnswer answer = askFor(2);
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 2) + events(4, 5));
}

TEST_CASE_FIXTURE(FalseRestFixture, "Stream taken up by its caller, upstream begins again, goes on at the next one")
{
    const SeenAnswer answer = askFor(2, lastEventTwo);
    CHECK(answer.whole);
    CHECK(answer.body == events(3, 4));
}

TEST_CASE_FIXTURE(FalseRestFixture, "Stream taken up by its caller, only upstream begins again, fails without an event")
{
    const SeenAnswer answer = askFor(1, lastEventTwo);
    CHECK(answer.status == 502);
    CHECK(answer.body.find("data:") == std::string::npos);
}

TEST_CASE_FIXTURE(FalseRestFixture, "Stream that cannot be resumed, caller names an event, is passed on from its beginning")
{
    const SeenAnswer answer = askFor(1, lastEventTwo, "/stream/a");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
}

// Whether another upstream is asked is the business of the daemon that the caller is connected to.
TEST_CASE_FIXTURE(FalseRestFixture, "Relayed rest of a stream, upstream begins again, fails without an event")
{
    const SeenAnswer answer = askAsDaemon("/resume/a", "id1", lastEventTwo + versionHeaderLine() + "X-Portpaddle-Events: 2\r\n");
    CHECK(falseAnswers == 1);
    CHECK(answer.status == 502);
    CHECK(answer.body.find("data:") == std::string::npos);
}

TEST_CASE_FIXTURE(FalseRelayFixture, "Handed over stream, other region begins again, does not reach the caller twice")
{
    const SeenAnswer answer = ask("/stream/a", "id1", keptElsewhere);
    CHECK(asked == 2);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 2));
}

TEST_CASE_FIXTURE(FalseCopyFixture, "Moved stream, copy begins earlier than the run stopped, does not reach the caller twice")
{
    SUBCASE("at the last event")
    {
        eventsRepeated = 1;
    }
    SUBCASE("at the first event")
    {
        eventsRepeated = 3;
    }
    const SeenAnswer answer = askWhileEngineLeaves();
    CHECK_FALSE(continuedFrom.empty());
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
}
