// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Heads with a line whose field name is none: it holds a blank, a control byte or no byte at all. Such a line leaves unknown what
// the head means, the length of the body included, so that the head is no answer.

#include "ctl/admin_client.h"
#include "platform/store_client.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/control/observer_controller.h"
#include "portpaddle/control/order_controller.h"
#include "portpaddle/platform/http_platform.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/damaged_answers.h"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

using namespace Portpaddle;
using namespace std::string_literals;

namespace {

using Then = ScriptedAnswer::Then;

const std::vector<std::string> noNames{ "X Bad",
                                        "X-Bad ",
                                        " X-Bad",
                                        "X\tBad",
                                        "X-Bad\t",
                                        "\tX-Bad",
                                        "X\x01"
                                        "Bad"s,
                                        "X\0Bad"s,
                                        "X\rBad"s,
                                        "X\nBad"s,
                                        "X\x1b"
                                        "Bad"s,
                                        "X\x7f"
                                        "Bad"s,
                                        ""s,
                                        " "s,
                                        "X-B\xc3\xa4"
                                        "d"s,
                                        "X(Bad)"s,
                                        "Content-Length "s,
                                        "Content Length"s,
                                        "Content-Length\x01"s,
                                        "Transfer-Encoding "s };
/// Lines without a name, or with a value that none has.
const std::vector<std::string> noFields{
    "X-Bad", "X Bad", "\x01", "X-Bad: a\x01", "X-Bad: a\0b"s, "X-Bad: a\rb", "X-Bad: a\x7f"
};
const std::vector<std::string> soundNames{ "X-Good", "x", "!#$%&'*+-.^_`|~09azAZ" };

/// Lines of which each leaves its head without a meaning.
std::vector<std::string> badLines()
{
    std::vector<std::string> lines;
    for (const std::string &name : noNames) {
        lines.push_back(name + ": 1\r\n");
    }
    for (const std::string &line : noFields) {
        lines.push_back(line + "\r\n");
    }
    return lines;
}

/// Returns a signed head with @p line first, and a body of three bytes.
std::string answerWith(const std::string &line, const std::string &more = {})
{
    return "HTTP/1.1 200 OK\r\n" + line + ownId + "X-Signature: s\r\n" + more + "Content-Length: 3\r\n\r\nbad";
}

SocketAddress addressOf(const ScriptedUpstream &peer)
{
    return valueOf(parseSocketAddress(peer.address()));
}

std::string jsonWith(const std::string &line, const std::string &json)
{
    return "HTTP/1.1 200 OK\r\n" + line + "Content-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json;
}

} // namespace

TEST_CASE("Field name, of token characters, passes with its answer")
{
    for (const std::string &name : soundNames) {
        CAPTURE(name);
        DamagedAnswerSite site;
        site.bytes = answerWith(name + ": 1\r\n");
        const SeenAnswer answer = site.ask("/once/a", "id1");
        CHECK(answer.status == 200);
        CHECK(answer.head.find(name + ": 1\r\n") != std::string::npos);
        RecordingSink sink;
        CHECK(askOnSettings(answerWith(name + ": 1\r\n"), sink).end == AttemptEnd::Complete);
        CHECK(sink.text() == "bad");
    }
}

TEST_CASE("Field name, invalid in an answer that may not be asked for again, is a failure that may have run")
{
    for (const std::string &line : badLines()) {
        for (const char *path : { "/once/a", "/stream/a" }) {
            CAPTURE(line);
            CAPTURE(path);
            DamagedAnswerSite site;
            site.bytes = answerWith(line);
            const SeenAnswer answer = site.ask(path, "id1");
            CHECK(answer.status == 502);
            CHECK(answer.head.find(line) == std::string::npos);
            CHECK(site.seen() == 1);
        }
    }
}

TEST_CASE("Field name, invalid in an answer that may be asked for again, is replaced by another upstream's answer")
{
    for (const std::string &line : badLines()) {
        for (const auto &[path, body] : { std::pair("/plain/a", "own"s), std::pair("/resume/a", events(1, 2)) }) {
            CAPTURE(line);
            CAPTURE(path);
            DamagedAnswerSite site;
            site.bytes = answerWith(line);
            site.onlyFirst = true;
            const SeenAnswer answer = site.ask(path, "id1");
            CHECK(answer.status == 200);
            CHECK(answer.whole);
            CHECK(answer.body == body);
        }
    }
}

TEST_CASE("Field name, invalid beside a proof that nothing ran, proves nothing")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        DamagedAnswerSite site;
        site.bytes = answerWith(line, "X-Not-Run: 1\r\n");
        CHECK(site.ask("/once/a", "id1").status == 502);
        CHECK(site.seen() == 1);
    }
}

TEST_CASE("Field name, invalid in an interim or a late answer, leaves it unknown whose answer follows")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        for (const std::string &before :
             { "HTTP/1.1 103 Early\r\n" + line + "\r\n",
               "HTTP/1.1 200 OK\r\n" + line + "X-Request-Id: earlier\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n" }) {
            CAPTURE(before);
            DamagedAnswerSite site;
            site.bytes = before + answerWith({});
            CHECK(site.ask("/once/a", "id1").status == 502);
            CHECK(site.seen() == 1);
        }
    }
}

TEST_CASE("Field name, invalid on a connection that has served a request, is a failure")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        DamagedAnswerSite site;
        CHECK(site.ask("/once/a", "id1").body == "own");
        site.bytes = answerWith(line);
        CHECK(site.ask("/once/a", "id2").status == 502);
    }
}

TEST_CASE("Field name, invalid between daemons, is a failure that may have run")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        DamagedAnswerSite asked;
        asked.bytes = answerWith(line);
        const SeenAnswer answer = asked.askAsDaemon("/once/a", "id1");
        CHECK(answer.status == 502);
        CHECK(answer.head.find("X-Portpaddle-Outcome") == std::string::npos);
        GatewaySite asking;
        const ScriptedUpstream daemon = peerThatSends(answerWith(line, "X-Portpaddle-Outcome: not_run\r\n"));
        asking.addRemoteDaemon("e1", "east", daemon.address(), {});
        CHECK(asking.ask("/once/a", "id1").status == 502);
        CHECK(daemon.seen().size() == 1);
    }
}

TEST_CASE("Field name, invalid in a trailer, cuts the answer")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        DamagedAnswerSite site;
        site.bytes = std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nbad\r\n0\r\n" + line + "\r\n";
        CHECK(site.ask("/once/a", "id1").status == 502);
    }
}

TEST_CASE("Field name, invalid in the rest of a stream, does not end the stream as whole")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        GatewaySite site;
        std::atomic<unsigned> asked{ 0 };
        const auto script = [&asked, &line](const SeenRequest &request) {
            return asked++ == 0 ? ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2), Then::Close }
                                : ScriptedAnswer{ answerWith(line), Then::Close };
        };
        ScriptedUpstream first(script);
        ScriptedUpstream second(script);
        site.addUpstream("u1", first.address());
        site.addUpstream("u2", second.address());
        const SeenAnswer answer = site.ask("/resume/a", "id1");
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.whole);
        CHECK(answer.body == events(1, 2));
    }
}

TEST_CASE("Field name, invalid in the answer to an order, names no memory and is no answer")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const MemoryMove moved = orderAnsweredBy(answerWith(line));
        CHECK_FALSE(moved.memorySource.has_value());
        CHECK(moved.outcome.starts_with("no answer"));
    }
}

TEST_CASE("Field name, invalid in an upstream's answer to a daemon on settings, is a failure that may have run")
{
    for (const std::string &line : badLines()) {
        for (const char *more : { "", "X-Run-State: not_run\r\n" }) {
            CAPTURE(line);
            CAPTURE(more);
            for (const std::string &bytes :
                 { answerWith(line, more), "HTTP/1.1 100 Continue\r\n\r\n" + answerWith(line, more) }) {
                RecordingSink sink;
                const AttemptResult result = askOnSettings(bytes, sink);
                CHECK(result.end == AttemptEnd::Broken);
                CHECK(result.error.run == RunState::MayHaveRun);
                CHECK(sink.heads() == 0);
            }
        }
    }
}

TEST_CASE("Field name, invalid in the store's answer, is an unavailable store")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const ScriptedUpstream store = peerThatSends(jsonWith(line, R"({"storeRevision":5})"));
        StoreClient client(addressOf(store));
        const Result<std::uint64_t> newest = client.newestRevision(ReadFreshness::Newest);
        REQUIRE_FALSE(isOk(newest));
        CHECK(errorOf(newest).code == ErrorCode::PlatformUnavailable);
    }
}

TEST_CASE("Field name, invalid in a neighbour's state, is no state")
{
    FeedUpdate update;
    update.revision = 7;
    update.reachable = true;
    const std::string state = encodeState("neighbour", { { "servers/a", "{}", 3 } }, update);
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const ScriptedUpstream neighbour = peerThatSends(jsonWith(line, state));
        const PeerStateClient client([&neighbour] { return std::vector<std::string>{ neighbour.address() }; });
        CHECK_FALSE(isOk(client.fetch([] { return false; })));
    }
}

TEST_CASE("Field name, invalid in the answer of a settings daemon's platform, is no answer")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const ScriptedUpstream platform = peerThatSends(jsonWith(line, R"({"organisation":"o"})"));
        HttpPlatform client(addressOf(platform), Millis(20'000));
        CHECK_FALSE(isOk(client.find("digest")));
    }
}

TEST_CASE("Field name, invalid in an engine's answer to an order or in its load, is no answer")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const ScriptedUpstream engine = peerThatSends(jsonWith(line, "{}"));
        HttpOrderSender sender;
        CHECK(sender.send({ "u1", engine.address(), OrderKind::Drop, "subject", 7 }) == OrderOutcome::Unknown);
        CHECK_FALSE(fetchLoad("u1", engine.address(), 1, SystemClock()).reachable);
    }
}

TEST_CASE("Field name, invalid in a daemon's answer to an operator, is no answer")
{
    for (const std::string &line : badLines()) {
        CAPTURE(line);
        const ScriptedUpstream daemon = peerThatSends(jsonWith(line, R"({"members":[]})"));
        CHECK_FALSE(isOk(AdminClient(addressOf(daemon), "key").get("/members", {})));
    }
}

TEST_CASE("Folded line, behind any field of an answer, is a failure and neither joined to it nor passed on")
{
    for (const char *fold : { " X-Odd: 1\r\n", "\tX-Odd: 1\r\n", " \r\n", "  more\r\n" }) {
        for (const std::string &bytes :
             { "HTTP/1.1 200 OK\r\nX-Good: 1\r\n"s + fold + ownId + "X-Signature: s\r\nContent-Length: 3\r\n\r\nbad",
               "HTTP/1.1 200 OK\r\n"s + ownId + fold + "X-Signature: s\r\nContent-Length: 3\r\n\r\nbad",
               "HTTP/1.1 200 OK\r\n"s + ownId + "X-Signature: s\r\n" + fold + "Content-Length: 3\r\n\r\nbad",
               "HTTP/1.1 200 OK\r\n"s + ownId + "X-Signature: s\r\nContent-Length: 3\r\n" + fold + "\r\nbad" }) {
            CAPTURE(bytes);
            for (const char *path : { "/once/a", "/stream/a" }) {
                DamagedAnswerSite site;
                site.bytes = bytes;
                const SeenAnswer answer = site.ask(path, "id1");
                CHECK(answer.status == 502);
                CHECK(answer.head.find("X-Odd") == std::string::npos);
                CHECK(site.seen() == 1);
            }
            DamagedAnswerSite again;
            again.bytes = bytes;
            again.onlyFirst = true;
            CHECK(again.ask("/plain/a", "id1").body == "own");
            CHECK(orderAnsweredBy(bytes).outcome.starts_with("no answer"));
            RecordingSink sink;
            CHECK(askOnSettings(bytes, sink).end == AttemptEnd::Broken);
        }
    }
}
