// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams that pass through two daemons, the second of which ends first: their memory is moved and they go on through a third.

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

/// A daemon whose streams of others are due to be handed over as soon as its stop begins.
class MovingEnginesFixture : public MovingEngines
{
public:
    MovingEnginesFixture()
    {
        terms.moveLead = Millis(0);
        terms.handOverLead = std::chrono::hours(2);
        setOptions();
    }

    /// The stream of another daemon, seen to the end of this daemon's stop.
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

/// Two daemons of another region: whoever is asked first hands over, the other goes on.
class EndingRelayFixture : public GatewaySite
{
public:
    EndingRelayFixture()
    {
        const auto script = [this](const SeenRequest &request) {
            if (asked++ == 0) {
                return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2) + handOver, Then::Close };
            }
            goesOn = request;
            return ScriptedAnswer{ goOn.empty() ? streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk : goOn };
        };
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            daemons[index] = std::make_unique<ScriptedUpstream>(script);
            addRemoteDaemon("e" + std::to_string(index), "east", daemons[index]->address(), keptElsewhere);
        }
    }

    void keepOnlyDaemon(std::size_t index)
    {
        removeDaemon("e" + std::to_string(1 - index));
    }

    std::string handOver = "0\r\nX-Portpaddle-Continue-At: u9 10.0.0.1:80/h7\r\n\r\n";
    std::array<std::unique_ptr<ScriptedUpstream>, 2> daemons;
    std::atomic<unsigned> asked{ 0 };
    SeenRequest goesOn;
    /// Answers the continuation in place of the rest of the stream.
    std::string goOn;
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

TEST_CASE_FIXTURE(MovingEnginesFixture, "Stopping daemon, relayed stream of a daemon that cannot continue it, is left alone")
{
    released = true;
    const SeenAnswer answer = askWhileStopping({});
    CHECK_FALSE(answer.whole);
    CHECK_FALSE(ordered);
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, with a continuation, goes on at the engine that it names")
{
    const SeenAnswer answer
        = askAsDaemon("/stream/a", "id1", "Last-Event-ID: 2\r\nX-Portpaddle-Continue-At: u1 10.0.0.1:80/h7\r\n");
    CHECK(answer.whole);
    CHECK(answer.body.find("id: 3") != std::string::npos);
    CHECK(continuedFrom == "10.0.0.1:80/h7");
    CHECK(engines[1]->seen().size() == 1);
    CHECK(lastIdOf(engines[1]->seen().front()) == "2");
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, continuation at an engine that is gone, is refused as not run")
{
    const SeenAnswer answer = askAsDaemon("/stream/a", "id1", "X-Portpaddle-Continue-At: u7 10.0.0.1:80/h7\r\n");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
}

TEST_CASE_FIXTURE(MovingEnginesFixture, "Relayed request, continuation that its engine does not take, is not run by another one")
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

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over by a daemon that ends, goes on through another one to its end")
{
    const SeenAnswer answer = ask("/stream/a", "id1", keptElsewhere);
    CHECK(answer.whole);
    CHECK(answer.trailer.empty());
    CHECK(answer.body.find("id: 2") < answer.body.find("id: 3"));
    CHECK(answer.body.find("id: 4") != std::string::npos);
    CHECK(asked == 2);
    CHECK(goesOn.headers.at("x-portpaddle-continue-at") == "u9 10.0.0.1:80/h7");
    CHECK(lastIdOf(goesOn) == "2");
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over while no other daemon is known, goes on when one comes")
{
    const auto late = std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) {
        ++asked;
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk };
    });
    keepOnlyDaemon(0);
    RawCaller caller(address());
    caller.send(request("/stream/a", "id1", keptElsewhere));
    CHECK(eventually([this] { return asked == 1; }));
    addRemoteDaemon("e2", "east", late->address(), keptElsewhere);
    CHECK(caller.receive().whole);
    CHECK(asked == 2);
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over to a daemon that refuses it, is visibly incomplete and not run again")
{
    ScriptedUpstream own(
        [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 4) + lastChunk }; });
    addUpstream("u1", own.address());
    goOn = "HTTP/1.1 503 Busy\r\nX-Portpaddle-Outcome: not_run\r\nX-Portpaddle-Sends: 0\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = ask("/stream/a", "id1", keptElsewhere);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body.find("id: 3") == std::string::npos);
    CHECK(own.seen().empty());
}

TEST_CASE_FIXTURE(EndingRelayFixture, "Stream, handed over with a field that says nothing, is visibly incomplete")
{
    handOver = "0\r\nX-Portpaddle-Continue-At: u9\r\n\r\n";
    CHECK_FALSE(ask("/stream/a", "id1", keptElsewhere).whole);
    CHECK(asked == 1);
}

TEST_CASE_FIXTURE(GatewaySite, "Stream of an upstream, with the field of a hand-over, passes as it is")
{
    ScriptedUpstream upstream([](const SeenRequest &request) {
        return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2) + "0\r\nX-Portpaddle-Continue-At: u9 a/h\r\n\r\n" };
    });
    addUpstream("u1", upstream.address());
    const SeenAnswer answer = ask("/stream/a", "id1");
    CHECK(answer.whole);
    CHECK(answer.trailer.empty());
}
