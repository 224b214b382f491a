// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Where the events of a stream end: at an empty line, whichever of the three line ends the upstream writes.

#include "portpaddle/streams/event_splitter.h"

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>

using namespace Portpaddle;

namespace {

constexpr std::array<const char *, 3> lineEnds{ "\n", "\r\n", "\r" };

std::string eventWith(unsigned id, const std::string &lineEnd)
{
    return fmt::format("id: {}{}data: text{}{}", id, lineEnd, lineEnd, lineEnd);
}

std::string withoutLineEnds(const std::string &text)
{
    std::string result;
    for (const char letter : text) {
        if (letter != '\r' && letter != '\n') {
            result += letter;
        }
    }
    return result;
}

} // namespace

TEST_CASE("Events, any line end, cut at any byte, are whole and counted")
{
    for (const std::string lineEnd : lineEnds) {
        CAPTURE(lineEnd);
        const std::string stream = eventWith(1, lineEnd) + ":idle" + lineEnd + lineEnd + eventWith(2, lineEnd);
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            CAPTURE(cut);
            EventSplitter splitter;
            const std::string first = splitter.feed(stream.substr(0, cut));
            const std::string second = splitter.feed(stream.substr(cut));
            CHECK(withoutLineEnds(first + second) == "id: 1data: textid: 2data: text");
            CHECK(EventSplitter::count(first) + EventSplitter::count(second) == 2);
            CHECK(splitter.lastId() == "2");
            CHECK(splitter.partial().empty());
        }
    }
}

TEST_CASE("Event, longer than any and byte by byte, is not searched again from its begin with each byte")
{
    constexpr std::size_t bytes = 1024 * 1024;
    EventSplitter splitter;
    for (std::size_t sent = 0; sent < bytes; ++sent) {
        splitter.feed("x");
    }
    CHECK(splitter.bytesSinceEvent() == bytes);
    CHECK(splitter.feed("\rdata: text\r\n\r").size() == bytes + std::string("\rdata: text\r\n\r").size());
    CHECK(splitter.partial().empty());
}

TEST_CASE("Events, any line end, fed byte by byte, are those that are found in one piece")
{
    for (const std::string lineEnd : lineEnds) {
        CAPTURE(lineEnd);
        const std::string stream
            = eventWith(1, lineEnd) + ":idle" + lineEnd + lineEnd + eventWith(2, lineEnd) + "id: 3" + lineEnd;
        EventSplitter splitter;
        std::string whole;
        for (const char byte : stream) {
            whole += splitter.feed(std::string(1, byte));
        }
        CHECK(withoutLineEnds(whole) == "id: 1data: textid: 2data: text");
        CHECK(splitter.lastId() == "2");
        CHECK(withoutLineEnds(splitter.partial()) == "id: 3");
    }
}

TEST_CASE("Event, line ends of different kinds, ends at the first empty line")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\rdata: a\r\n\ndata: b") == "id: 1\rdata: a\r\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.partial() == "data: b");
}

TEST_CASE("Event, a line end within its bytes but no empty line, is kept back")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\r\ndata: a\r\n").empty());
    CHECK(splitter.lastId().empty());
}

TEST_CASE_FIXTURE(GatewaySite, "Stream, events with any line end, reaches the caller whole")
{
    for (const std::string lineEnd : lineEnds) {
        CAPTURE(lineEnd);
        const std::string body = eventWith(1, lineEnd) + eventWith(2, lineEnd);
        ScriptedUpstream upstream([&body](const SeenRequest &request) {
            return ScriptedAnswer{ streamHead(idOf(request)) + fmt::format("{:x}\r\n{}\r\n", body.size(), body) + lastChunk };
        });
        addUpstream("u1", upstream.address());
        const SeenAnswer answer = ask("/stream/a", "id1");
        CHECK(answer.whole);
        CHECK(answer.body == body);
        removeUpstream("u1");
    }
}
