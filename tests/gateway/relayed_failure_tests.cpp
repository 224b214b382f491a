// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests whose run breaks in another region: the daemon of the caller decides about another attempt, at another upstream.

#include "portpaddle/attempts/upstream_keys.h"
#include "portpaddle/placement/upstream_shares.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

const std::string failure = std::string("HTTP/1.1 500 Failed\r\n") + ownId + "X-Signature: s\r\nContent-Length: 6\r\n\r\nfailed";
const std::string cutAnswer = std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\nContent-Length: 9\r\n\r\ncut";

/// Returns the failure of a daemon of the other region, with @p moreHeaders.
std::string daemonFailure(const std::string &moreHeaders)
{
    return std::string("HTTP/1.1 502 Bad Gateway\r\n") + ownId + moreHeaders + "Content-Length: 0\r\n\r\n";
}

/// The caller's daemon has no upstream; the other region's daemon has two, and the first of them to be asked breaks.
class OtherRegion : public GatewaySite
{
public:
    OtherRegion()
    {
        other.addUpstream("u1", one.address());
        other.addUpstream("u2", two.address());
        addRemoteDaemon("e1", "east", other.linkAddress(), {});
    }

    ScriptedAnswer answer(const SeenRequest &request)
    {
        return asked++ == 0 ? first : rest.bytes.empty() ? echo(request) : rest;
    }

    std::size_t seen() const
    {
        return one.seen().size() + two.seen().size();
    }

    std::atomic<unsigned> asked{ 0 };
    ScriptedAnswer first{ "", Then::Close };
    ScriptedAnswer rest;
    ScriptedUpstream one{ [this](const SeenRequest &request) { return answer(request); } };
    ScriptedUpstream two{ [this](const SeenRequest &request) { return answer(request); } };
    GatewaySite other;
};

} // namespace

TEST_CASE("Request that may run twice, run broken in another region, is run by another upstream there")
{
    for (const ScriptedAnswer &broken : { ScriptedAnswer{ "", Then::Close }, ScriptedAnswer{ "", Then::Reset },
                                          ScriptedAnswer{ "HTTP/1.1 200 OK\r\nX-Si", Then::Close },
                                          ScriptedAnswer{ cutAnswer, Then::Close }, ScriptedAnswer{ failure } }) {
        CAPTURE(broken.bytes);
        OtherRegion site;
        site.first = broken;
        const SeenAnswer answer = site.ask("/plain/a", "id1", {}, "body");
        CHECK(answer.status == 200);
        CHECK(answer.body == "body");
        CHECK(site.one.seen().size() == 1);
        CHECK(site.two.seen().size() == 1);
        CHECK(site.count(Counter::RepeatsPaid) == 1);
    }
}

TEST_CASE("Request that may not be sent again, run broken in another region, is run once")
{
    for (const char *path : { "/once/a", "/single/a", "/stream/a" }) {
        CAPTURE(path);
        OtherRegion site;
        CHECK(site.ask(path, "id1", {}, "body").status == 502);
        CHECK(site.seen() == 1);
    }
}

TEST_CASE_FIXTURE(OtherRegion, "Request that may not be sent again, upstream's own failure in another region, reaches the caller")
{
    first = { failure };
    const SeenAnswer answer = ask("/once/a", "id1");
    CHECK(answer.status == 500);
    CHECK(answer.body == "failed");
    CHECK(answer.head.find("X-Signature: s") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle") == std::string::npos);
}

TEST_CASE_FIXTURE(OtherRegion, "Request that may run twice, its only upstream breaks in another region, is not sent there again")
{
    other.removeUpstream("u2");
    CHECK(ask("/plain/a", "id1").status == 502);
    CHECK(one.seen().size() == 1);
}

TEST_CASE_FIXTURE(OtherRegion, "Request that may run twice, both runs broken in another region, has no third one")
{
    first = { "HTTP/1.1 200 OK\r\nX-Si", Then::Close };
    rest = first;
    CHECK(ask("/plain/a", "id1").status == 502);
    CHECK(one.seen().size() == 1);
    CHECK(two.seen().size() == 1);
}

TEST_CASE_FIXTURE(OtherRegion, "Resumable stream, broken in another region after an event, goes on at another upstream there")
{
    first = { std::string("HTTP/1.1 200 OK\r\n") + ownId
                  + "X-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(1, 2),
              Then::Close };
    rest = { std::string("HTTP/1.1 200 OK\r\n") + ownId
             + "X-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(3, 4)
             + lastChunk };
    const SeenAnswer answer = ask("/resume/a", "id1");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
    CHECK(one.seen().size() == 1);
    CHECK(two.seen().size() == 1);
}

TEST_CASE("Daemon of another region, names no upstream that ran the request, is not asked again")
{
    for (const char *headers : { "X-Portpaddle-Sends: 1\r\n", "X-Portpaddle-Sends: 1\r\nX-Portpaddle-Ran-At: -\r\n",
                                 "X-Portpaddle-Sends: 0\r\nX-Portpaddle-Ran-At: 1\r\n", "X-Portpaddle-Ran-At: 1\r\n" }) {
        CAPTURE(headers);
        GatewaySite site;
        const ScriptedUpstream daemon([headers](const SeenRequest &) { return ScriptedAnswer{ daemonFailure(headers) }; });
        site.addRemoteDaemon("e1", "east", daemon.address(), {});
        CHECK(site.ask("/plain/a", "id1").status == 502);
        CHECK(daemon.seen().size() == 1);
    }
}

TEST_CASE_FIXTURE(GatewaySite, "Daemon of another region, ends before it answers, is replaced by another one of its region")
{
    std::atomic<unsigned> asked{ 0 };
    const auto script = [&asked](const SeenRequest &request) {
        return asked++ == 0 ? ScriptedAnswer{ "HTTP/1.1 200", Then::Close } : echo(request);
    };
    ScriptedUpstream one(script);
    ScriptedUpstream two(script);
    addRemoteDaemon("e1", "east", one.address(), {});
    addRemoteDaemon("e2", "east", two.address(), {});
    CHECK(ask("/plain/a", "id1", {}, "body").body == "body");
    CHECK(one.seen().size() == 1);
    CHECK(two.seen().size() == 1);
}

TEST_CASE("Daemon of another region, no process listens, does not keep a second attempt from its region")
{
    // The daemons are asked in any order.
    for (int order = 0; order < 12; ++order) {
        GatewaySite site;
        std::atomic<unsigned> asked{ 0 };
        const auto script = [&asked](const SeenRequest &request) {
            return asked++ == 0 ? ScriptedAnswer{ "HTTP/1.1 200", Then::Close } : echo(request);
        };
        ScriptedUpstream one(script);
        ScriptedUpstream two(script);
        ScriptedUpstream gone(echo);
        gone.refuseConnections();
        site.addRemoteDaemon("e1", "east", one.address(), {});
        site.addRemoteDaemon("e2", "east", two.address(), {});
        site.addRemoteDaemon("e3", "east", gone.address(), {});
        CHECK(site.ask("/plain/a", "id1", {}, "body").body == "body");
    }
}

TEST_CASE_FIXTURE(OtherRegion, "Daemon without the header, of the caller, gets the failure and no second run")
{
    const SeenAnswer answer = other.askAsDaemon("/plain/a", "id1");
    CHECK(answer.status == 502);
    CHECK(answer.head.find("X-Portpaddle-Sends: 1\r\n") != std::string::npos);
    CHECK(answer.head.find(ranAtHeader) != std::string::npos);
    CHECK(seen() == 1);
}

TEST_CASE_FIXTURE(GatewaySite, "Names of upstreams that ran the request, sent by a caller or an upstream, mean nothing")
{
    const std::string forged = "X-Portpaddle-Ran-At: " + encodeUpstreamKeys({ upstreamKey("u1") }) + "\r\n";
    ScriptedUpstream upstream(
        [&forged](const SeenRequest &request) { return ScriptedAnswer{ wholeAnswer(idOf(request), "own", forged) }; });
    addUpstream("u1", upstream.address());
    const SeenAnswer answer = ask("/plain/a", "id1", forged);
    CHECK(answer.body == "own");
    CHECK(answer.head.find("X-Portpaddle") == std::string::npos);
    CHECK_FALSE(upstream.seen().front().headers.contains("x-portpaddle-ran-at"));
}

TEST_CASE("Keys of upstreams, encoded, are read again within their bound")
{
    CHECK(encodeUpstreamKeys({}).empty());
    CHECK(decodeUpstreamKeys(encodeUpstreamKeys({ 1, 0xffffffff })) == UpstreamKeys{ 1, 0xffffffff });
    CHECK(decodeUpstreamKeys("1 x 2") == UpstreamKeys{ 1 });
    CHECK(decodeUpstreamKeys(" 1").empty());
    CHECK(decodeUpstreamKeys("1ffffffff").empty());
    UpstreamKeys many(maxUpstreamKeys, 7);
    many.push_back(9);
    CHECK(decodeUpstreamKeys(encodeUpstreamKeys(many)).size() == maxUpstreamKeys);
    CHECK(decodeUpstreamKeys(encodeUpstreamKeys(many)).back() == 9);
}
