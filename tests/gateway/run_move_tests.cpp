// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams whose engine is ordered to move them elsewhere.

#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/plain_orders.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>

using namespace Portpaddle;
using Then = ScriptedAnswer::Then;

namespace {

/// Two engines that move memory; the first to be asked ends soon.
class MoveFixture : public GatewaySite
{
public:
    MoveFixture()
    {
        routes.services["s"].movesMemory = true;
        publishRoutes();
        onLoop([this](Gateway &gateway) { gateway.setOrders(&orders); });
        const auto script = [this](const SeenRequest &request) { return answer(request); };
        engines[0] = std::make_unique<ScriptedUpstream>(script);
        engines[1] = std::make_unique<ScriptedUpstream>(script);
        addUpstream("u0", engines[0]->address());
        addUpstream("u1", engines[1]->address());
    }

    ScriptedAnswer answer(const SeenRequest &request)
    {
        if (request.requestLine.starts_with("POST /move")) {
            moved = true;
            return { moveAnswer };
        }
        if (request.headers.contains("x-memory-from")) {
            continuedFrom = request.headers.at("x-memory-from");
            continuedAt = engines[request.headers.at("x-expected-upstream") == "u0" ? 0 : 1]->address();
            if (refusing) {
                return { notRunAnswer };
            }
            const unsigned last = static_cast<unsigned>(std::stoi(request.headers.at("last-event-id")));
            return { streamHead(idOf(request)) + eventChunk(last + 1, 6) + lastChunk };
        }
        return { streamHead(idOf(request)) + eventChunk(1, 3), Then::Close,
                 [this] { eventually([this] { return moved.load(); }); } };
    }

    SeenAnswer askWhileOneEnds(const std::function<void()> &onceMoved = [] {})
    {
        RawCaller caller(address());
        caller.send(request("/stream/a", "id1"));
        eventually([this] { return engines[0]->seen().size() + engines[1]->seen().size() == 1; });
        const std::size_t first = engines[0]->seen().empty() ? 1 : 0;
        source = engines[first]->address();
        announceEnd("u" + std::to_string(first), source);
        // The first events reach the gateway soon after the request was seen.
        eventually([&] {
            onLoop([](Gateway &gateway) { gateway.tick(); });
            return moved.load();
        });
        onceMoved();
        return caller.receive();
    }

    PlainOrders orders;
    std::array<std::unique_ptr<ScriptedUpstream>, 2> engines;
    std::string moveAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7";
    std::string continuedFrom;
    std::string continuedAt;
    std::string source;
    /// The engine that holds the copy does not run what goes on from it.
    bool refusing = false;
    std::atomic<bool> moved{ false };
};

} // namespace

TEST_CASE_FIXTURE(MoveFixture, "Run move, engine that announces its end, has its stream continued from moved memory")
{
    const SeenAnswer answer = askWhileOneEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, run that stopped but was not copied, goes on where it was")
{
    moveAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nh7";
    const SeenAnswer answer = askWhileOneEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
    CHECK(continuedAt == source);
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, move that fails, leaves the stream visibly incomplete")
{
    moveAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = askWhileOneEnds();
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(continuedFrom.empty());
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, moved stream that its new engine refuses, is visibly incomplete and not run again")
{
    ScriptedUpstream third(
        [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 6) + lastChunk }; });
    refusing = true;
    const SeenAnswer answer = askWhileOneEnds([&] { addUpstream("u2", third.address()); });
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(third.seen().empty());
}
