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
    SeenAnswer askWhileEngineEnds(
        const std::function<void()> &afterMove = [] {}, const std::string &path = "/stream/a")
    {
        RawCaller caller(address());
        const std::size_t first = beginStream(caller, {}, path);
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

TEST_CASE_FIXTURE(MoveFixture, "Run move, no engine takes a copy, does not stop the run")
{
    copyAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    RawCaller caller(address());
    const std::size_t first = beginStream(caller);
    announceEnd("u" + std::to_string(first), engines[first]->address());
    CHECK(tickUntil([this] { return copies >= 2; }));
    CHECK_FALSE(ordered);
    released = true;
    const SeenAnswer answer = caller.receive();
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(continuedFrom.empty());
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, stop answered without a name, continues from the copy")
{
    moveAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, answer to the stop is lost, asks again and loses no stream")
{
    lostMoveAnswers = 2;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, answer to the stop has no end, loses no stream")
{
    moveAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n";
    endlessMoveAnswer = std::string(64 * 1024, 'h');
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, copy refuses the run once, continues there or at the source")
{
    refusals = 1;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(MoveFixture, "Run move, engine that refused the request at its start, takes the run over")
{
    refuseStarts = 1;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(MoveFixture,
                  "Run move, resumable stream whose stopped run no engine takes, is resumed although the budget is spent")
{
    refusing = true;
    terms.extraRetriesPerWindow = 0;
    terms.retryRatio = 0;
    setOptions();
    const SeenAnswer answer = askWhileEngineEnds([] {}, "/resume/a");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(eventually([this] { return freed == 1; }));
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
