// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams that are moved to another engine because their engine shuts down.

#include "support/moving_engines.h"

#include <doctest/doctest.h>

#include <functional>

using namespace Portpaddle;

namespace {

/// The engine that is asked first announces its end.
class MoveFixture : public MovingEngines
{
public:
    SeenAnswer askWhileEngineEnds(const std::function<void()> &afterMove = [] {})
    {
        RawCaller caller(address());
        const std::size_t first = beginStream(caller);
        source = engines[first]->address();
        announceEnd("u" + std::to_string(first), source);
        tickUntilOrdered();
        afterMove();
        return caller.receive();
    }

    std::string source;
};

} // namespace

TEST_CASE_FIXTURE(MoveFixture, "Run move, engine that announces its end, has its stream continued from the moved state")
{
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, run that stopped but was not copied, continues at its first engine")
{
    moveAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nh7";
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
    CHECK(continuedAt == source);
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, failed move, leaves the stream visibly incomplete")
{
    moveAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(continuedFrom.empty());
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, moved stream refused by its new engine, is visibly incomplete and not run again")
{
    ScriptedUpstream third(
        [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 6) + lastChunk }; });
    refusing = true;
    const SeenAnswer answer = askWhileEngineEnds([&] { addUpstream("u2", third.address()); });
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(third.seen().empty());
}
