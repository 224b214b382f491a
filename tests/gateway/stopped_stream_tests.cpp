// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams that have neither a length nor chunks, and whose run is ordered to stop so that it can be moved.

#include "support/moving_engines.h"

#include <doctest/doctest.h>

#include <functional>

using namespace Portpaddle;

namespace {

constexpr const char *noSuchRun = "HTTP/1.1 404 Gone\r\nContent-Length: 0\r\n\r\n";
constexpr const char *keptAtSource = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nh7";

/// The engine that is asked first announces its end; each of its streams ends with its connection.
class StoppedStreamFixture : public MovingEngines
{
public:
    StoppedStreamFixture()
    {
        endsWithConnection = true;
    }

    /// Begins a stream through @p caller and has its engine ordered to move it.
    void beginAndMove(RawCaller &caller, const std::string &path = "/stream/a")
    {
        const std::size_t first = beginStream(caller, {}, path);
        source = engines[first]->address();
        announceEnd("u" + std::to_string(first), source);
        tickUntilOrdered();
    }

    SeenAnswer askWhileEngineEnds(const std::string &path = "/stream/a")
    {
        RawCaller caller(address());
        beginAndMove(caller, path);
        return caller.receive();
    }

    std::string source;
};

} // namespace

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, stopped and copied, is not told as whole without its rest")
{
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedFrom == source + "/h7");
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, stopped and not copied, goes on at its first engine")
{
    moveAnswer = keptAtSource;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
    CHECK(continuedAt == source);
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, answers to the stop lost, is not told as whole without its rest")
{
    SUBCASE("some of them")
    {
        lostMoveAnswers = 2;
    }
    SUBCASE("all of them")
    {
        lostMoveAnswers = 100;
    }
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, run denied after a lost answer, is not told as whole without its rest")
{
    lostMoveAnswers = 1;
    moveAnswer = noSuchRun;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(StoppedStreamFixture, "Stream that ends with its connection, run that had ended before the stop, is whole")
{
    moveAnswer = noSuchRun;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(continuedFrom.empty());
    CHECK(eventually([this] { return freed == 1; }));
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, run denied by an engine whose process ends, is not told as whole")
{
    moveAnswer = noSuchRun;
    refusing = true;
    RawCaller caller(address());
    const std::size_t first = beginStream(caller);
    atOrder = [this, first] { engines[first]->refuseConnections(); };
    announceEnd("u" + std::to_string(first), engines[first]->address());
    tickUntilOrdered();
    const SeenAnswer answer = caller.receive();
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, stopped and taken by nobody, is visibly incomplete")
{
    refusing = true;
    const SeenAnswer answer = askWhileEngineEnds();
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(StoppedStreamFixture, "Stream that ends with its connection, resumable and taken by nobody, is resumed")
{
    refusing = true;
    const SeenAnswer answer = askWhileEngineEnds("/resume/a");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(StoppedStreamFixture, "Stream that ends with its connection, no stop ordered, is whole")
{
    copyAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    RawCaller caller(address());
    const std::size_t first = beginStream(caller);
    announceEnd("u" + std::to_string(first), engines[first]->address());
    CHECK(tickUntil([this] { return copies >= 1; }));
    released = true;
    const SeenAnswer answer = caller.receive();
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(StoppedStreamFixture,
                  "Stream that ends with its connection, caller without chunks, sees a reset where the rest is missing")
{
    refusing = true;
    RawCaller caller(address());
    std::string oldRequest = request("/stream/a", "id1");
    oldRequest.replace(oldRequest.find("HTTP/1.1"), 8, "HTTP/1.0");
    caller.send(oldRequest);
    REQUIRE(eventually([this] { return running >= 0; }));
    const std::size_t first = static_cast<std::size_t>(running);
    announceEnd("u" + std::to_string(first), engines[first]->address());
    tickUntilOrdered();
    const SeenAnswer answer = caller.receive();
    CHECK_FALSE(answer.whole);
}
