// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams whose engine is ordered to move them elsewhere.

#include "support/moving_engines.h"

#include <doctest/doctest.h>

#include <functional>

using namespace Portpaddle;

namespace {

/// The engine that is asked first ends soon.
class MoveFixture : public MovingEngines
{
public:
    SeenAnswer askWhileOneEnds(const std::function<void()> &onceMoved = [] {})
    {
        RawCaller caller(address());
        const std::size_t first = beginStream(caller);
        source = engines[first]->address();
        announceEnd("u" + std::to_string(first), source);
        tickUntilOrdered();
        onceMoved();
        return caller.receive();
    }

    std::string source;
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
