// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// When the daemon that relays a stream stops, the memory of the stream is moved and the stream continues through a third daemon.

#include "support/moving_engines.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <array>
#include <atomic>

using namespace Portpaddle;
using Then = ScriptedAnswer::Then;

namespace {

constexpr const char *canContinue = "X-Portpaddle-Continues: 1\r\n";

std::string lastIdOf(const SeenRequest &request)
{
    return request.headers.contains("last-event-id") ? request.headers.at("last-event-id") : std::string();
}

/// A daemon that hands over the streams relayed for other daemons as soon as it begins to stop.
class MovingEnginesFixture : public MovingEngines
{
public:
    MovingEnginesFixture()
    {
        terms.moveLead = Millis(0);
        terms.handOverLead = std::chrono::hours(2);
        setOptions();
    }

    /// Returns the answer to a request of another daemon whose stream is in progress when this daemon stops.
    SeenAnswer askWhileStopping(const std::string &headers)
    {
        RawCaller caller(linkAddress());
        beginStream(caller, headers);
        CHECK(engines[0]->seen().size() + engines[1]->seen().size() == 1);
        onLoop([](Gateway &gateway) {
            const SteadyTime now = BootClock::now();
            gateway.beginDrain({ now, now + std::chrono::hours(1) });
        });
        CHECK(tickUntilOrdered());
        return caller.receive();
    }

    ScriptedUpstream busy{ [](const SeenRequest &) { return ScriptedAnswer{ notRunAnswer }; } };
};

/// Two daemons of another region. The first one that receives the request hands its stream over, the other continues it.
class EndingRelayFixture : public GatewaySite
{
public:
    EndingRelayFixture()
    {
        const auto script = [this](const SeenRequest &request) {
            if (requestCount++ == 0) {
                return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2) + handOver, Then::Close };
            }
            continuation = request;
            return ScriptedAnswer{ continuationAnswer.empty() ? streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk
                                                              : continuationAnswer };
        };
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            daemons[index] = std::make_unique<ScriptedUpstream>(script);
            addRemoteDaemon("e" + std::to_string(index), "east", daemons[index]->address(), keptElsewhere);
        }
    }

    void removeAllDaemonsBut(std::size_t index)
    {
        removeDaemon("e" + std::to_string(1 - index));
    }

    std::string handOver = "0\r\nX-Portpaddle-Continue-At: u9 10.0.0.1:80/h7\r\n\r\n";
    std::array<std::unique_ptr<ScriptedUpstream>, 2> daemons;
    std::atomic<unsigned> requestCount{ 0 };
    SeenRequest continuation;
    /// The answer to the continuation, if not the rest of the stream.
    std::string continuationAnswer;
};

} // namespace

TEST_CASE_FIXTURE(MovingEnginesFixture, "Stopping daemon, relayed stream in progress, is moved and handed over")
{
    const SeenAnswer answer = askWhileStopping(canContinue);
    const std::size_t source = engines[0]->seen().empty() ? 1 : 0;
    CHECK(answer.whole);
    CHECK(answer.body.find("id: 2") != std::string::npos);
    CHECK(answer.trailer == fmt::format("X-Portpaddle-Continue-At: u{} {}/h7\r\n", 1 - source, engines[source]->address()));
    CHECK(continuedFrom.empty());
}

TEST_CASE_FIXTURE(MovingEnginesFixture,
                  "Stopping daemon, relayed stream that ends with its connection, is handed over and not told as whole")
{
    endsWithConnection = true;
    const SeenAnswer answer = askWhileStopping(canContinue);
    CHECK(answer.body == events(1, 3));
    CHECK(answer.trailer.find("X-Portpaddle-Continue-At: ") == 0);
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Stopping daemon, relayed stream of a daemon that cannot continue it, is not handed over")
{
    released = true;
    const SeenAnswer answer = askWhileStopping({});
    CHECK_FALSE(answer.whole);
    CHECK_FALSE(ordered);
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, with a continuation, continues at the named engine")
{
    const SeenAnswer answer
        = askAsDaemon("/stream/a", "id1", "Last-Event-ID: 2\r\nX-Portpaddle-Continue-At: u1 10.0.0.1:80/h7\r\n");
    CHECK(answer.whole);
    CHECK(answer.body.find("id: 3") != std::string::npos);
    CHECK(continuedFrom == "10.0.0.1:80/h7");
    CHECK(engines[1]->seen().size() == 1);
    CHECK(lastIdOf(engines[1]->seen().front()) == "2");
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, continuation at an unknown engine, is refused as not run")
{
    const SeenAnswer answer = askAsDaemon("/stream/a", "id1", "X-Portpaddle-Continue-At: u7 10.0.0.1:80/h7\r\n");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, continuation refused by its engine, is not run by another engine")
{
    std::string address;
    SUBCASE("refused by the engine")
    {
        address = busy.address();
    }
    SUBCASE("no connection to the engine")
    {
        address = ScriptedUpstream(echo).address();
    }
    addUpstream("u7", address);
    const SeenAnswer answer
        = askAsDaemon("/stream/a", "id1", "Last-Event-ID: 2\r\nX-Portpaddle-Continue-At: u7 10.0.0.1:80/h7\r\n");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(engines[0]->seen().empty());
    CHECK(engines[1]->seen().empty());
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Request of a caller, with a continuation, is an ordinary request")
{
    released = true;
    ask("/stream/a", "id1", "X-Portpaddle-Continue-At: u1 10.0.0.1:80/h7\r\n");
    CHECK(continuedFrom.empty());
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over by a stopping daemon, continues through another daemon to its end")
{
    const SeenAnswer answer = ask("/stream/a", "id1", keptElsewhere);
    CHECK(answer.whole);
    CHECK(answer.trailer.empty());
    CHECK(answer.body.find("id: 2") < answer.body.find("id: 3"));
    CHECK(answer.body.find("id: 4") != std::string::npos);
    CHECK(requestCount == 2);
    CHECK(continuation.headers.at("x-portpaddle-continue-at") == "u9 10.0.0.1:80/h7");
    CHECK(lastIdOf(continuation) == "2");
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over while no other daemon is known, continues once one is listed")
{
    const auto lateDaemon = std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) {
        ++requestCount;
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk };
    });
    removeAllDaemonsBut(0);
    RawCaller caller(address());
    caller.send(request("/stream/a", "id1", keptElsewhere));
    CHECK(eventually([this] { return requestCount == 1; }));
    addRemoteDaemon("e2", "east", lateDaemon->address(), keptElsewhere);
    CHECK(caller.receive().whole);
    CHECK(requestCount == 2);
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over to a daemon that refuses it, is visibly incomplete and not run again")
{
    ScriptedUpstream own(
        [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 4) + lastChunk }; });
    addUpstream("u1", own.address());
    continuationAnswer = "HTTP/1.1 503 Busy\r\nX-Request-Id: @id\r\nX-Portpaddle-Outcome: not_run\r\nX-Portpaddle-Sends: "
                         "0\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = ask("/stream/a", "id1", keptElsewhere);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body.find("id: 3") == std::string::npos);
    CHECK(own.seen().empty());
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over with a malformed field, is visibly incomplete")
{
    handOver = "0\r\nX-Portpaddle-Continue-At: u9\r\n\r\n";
    CHECK_FALSE(ask("/stream/a", "id1", keptElsewhere).whole);
    CHECK(requestCount == 1);
}

TEST_CASE_FIXTURE(GatewaySite, "Stream of an upstream, with the field of a hand-over, is complete and loses the field")
{
    ScriptedUpstream upstream([](const SeenRequest &request) {
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2) + "0\r\nX-Portpaddle-Continue-At: u9 a/h\r\n\r\n" };
    });
    addUpstream("u1", upstream.address());
    const SeenAnswer answer = ask("/stream/a", "id1");
    CHECK(answer.whole);
    CHECK(answer.trailer.empty());
}
