// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Peers whose heads announce lengths that nobody would send. Nothing is reserved by them, and the daemon goes on.

#include "platform/store_client.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/net/received_body.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/store_following/state_exchange.h"
#include "portpaddle/streams/memory_move.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/plain_orders.h"
#include "support/scripted_upstream.h"

#include <boost/beast/http/parser.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace Portpaddle;

namespace {

namespace http = boost::beast::http;
using Then = ScriptedAnswer::Then;

const std::vector<std::string> damagedLengths{ "9223372036854775807", "100000000000", "1000000000" };

std::string damagedHead(const std::string &status, const std::string &fields, const std::string &length)
{
    return fmt::format("HTTP/1.1 {} S\r\n{}Content-Length: {}\r\n\r\n", status, fields, length);
}

/// An upstream whose first answer is damaged and whose others are sound.
class DamagedUpstreamFixture : public GatewaySite
{
public:
    DamagedUpstreamFixture()
        : upstream([this](const SeenRequest &request) {
            return asked++ == 0 ? damaged : ScriptedAnswer{ wholeAnswer(idOf(request), "sound") };
        })
    {
    }

    SeenAnswer askDamaged(const std::string &path, const std::string &bytes)
    {
        asked = 0;
        damaged = { bytes, Then::Close };
        return ask(path, "id1");
    }

    void checkGoesOn()
    {
        const SeenAnswer next = ask("/once/a", "id2");
        CHECK(next.status == 200);
        CHECK(next.body == "sound");
    }

    std::atomic<unsigned> asked{ 0 };
    ScriptedAnswer damaged;
    ScriptedUpstream upstream;
};

const std::string signedFields = "X-Request-Id: id1\r\nX-Signature: s-id1\r\n";

/// Returns the memory that a parser of type @p Parser takes after a head that announces @p length.
template<typename Parser>
std::size_t reservedFor(const std::string &start, std::uint64_t length)
{
    Parser parser;
    parser.body_limit(PeerBounds::answerBytes);
    parser.eager(true);
    NetError error;
    const std::string head = fmt::format("{}\r\nContent-Length: {}\r\n\r\nab", start, length);
    parser.put(boost::asio::buffer(head), error);
    CHECK_FALSE(error);
    CHECK(parser.get().body() == "ab");
    return parser.get().body().capacity();
}

} // namespace

TEST_CASE("Received body, long length announced, takes memory only for the bytes that came")
{
    constexpr std::size_t most = 1024;
    CHECK(reservedFor<http::response_parser<ReceivedBody>>("HTTP/1.1 200 OK", 1'000'000'000) < most);
    CHECK(reservedFor<http::request_parser<ReceivedBody>>("POST / HTTP/1.1", 4'194'304) < most);
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of an answer that is held, fails its request and no other")
{
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        CHECK(askDamaged("/once/a", damagedHead("200", signedFields, length) + "short").status == 502);
        checkGoesOn();
    }
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of a failure, fails its request and no other")
{
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        CHECK(askDamaged("/once/a", damagedHead("500", signedFields, length) + "short").status == 502);
        checkGoesOn();
    }
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of a stream, leaves no stream that looks complete")
{
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const SeenAnswer answer = askDamaged("/stream/a", damagedHead("200", signedFields, length) + events(1, 2));
        CHECK((answer.status == 502 || !answer.whole));
        checkGoesOn();
    }
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of a late answer, fails the request in whose place it came")
{
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const std::string late = damagedHead("200", "X-Request-Id: earlier\r\nX-Signature: s-earlier\r\n", length);
        CHECK(askDamaged("/once/a", late + "late").status == 502);
        checkGoesOn();
    }
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of a refusal, is an answer of status 503 or 502")
{
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const SeenAnswer answer
            = askDamaged("/once/a", damagedHead("503", "X-Not-Run: 1\r\nX-Request-Id: id1\r\n", length) + "busy");
        CHECK((answer.status == 503 || answer.status == 502));
        checkGoesOn();
    }
}

TEST_CASE_FIXTURE(DamagedUpstreamFixture, "Damaged length, of another daemon's answer, fails its request and no other")
{
    addRemoteDaemon("d9", "south", upstream.address(), keptElsewhere);
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        asked = 0;
        damaged = { damagedHead("200", signedFields, length) + "short", Then::Close };
        CHECK(ask("/once/a", "id1", keptElsewhere).status == 502);
        CHECK(asked == 1);
    }
}

TEST_CASE_FIXTURE(GatewaySite, "Damaged length, of a caller's request, is refused and other callers are served")
{
    const ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        RawCaller caller(address());
        caller.send("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nContent-Length: " + length + "\r\n\r\n");
        CHECK(caller.receive().status == 413);
        CHECK(ask("/once/a", "id2", {}, "body").body == "body");
    }
}

TEST_CASE("Damaged length, of the answer to an order, is no answer")
{
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const ScriptedUpstream engine([&length](const SeenRequest &) {
            return ScriptedAnswer{ damagedHead("200", {}, length) + "short", Then::Close };
        });
        boost::asio::io_context loop{ 1 };
        ConnectionPool pool(loop.get_executor());
        const PlainOrders orders;
        UpstreamRecord source;
        source.id = "u1";
        source.address = engine.address();
        MemoryMove moved;
        spawnTask(loop.get_executor(), "order", [&]() -> Task<void> {
            moved = co_await sendMoveOrder(pool, orders, orders.copy("id1", "target"), source, std::chrono::seconds(5),
                                           [](const UpstreamRecord &, const http::response_header<> &) {});
        });
        loop.run();
        CHECK(moved.outcome.starts_with("no answer"));
        CHECK_FALSE(moved.memorySource.has_value());
    }
}

TEST_CASE("Damaged length, of a neighbour's state, is no state")
{
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const ScriptedUpstream neighbour([&length](const SeenRequest &) {
            return ScriptedAnswer{ damagedHead("200", {}, length) + "short", Then::Close };
        });
        const PeerStateClient client([&neighbour] { return std::vector<std::string>{ neighbour.address() }; });
        CHECK_FALSE(isOk(client.fetch()));
    }
}

TEST_CASE("Damaged length, of the store's answer, is an unavailable store")
{
    for (const std::string &length : damagedLengths) {
        CAPTURE(length);
        const ScriptedUpstream store([&length](const SeenRequest &) {
            return ScriptedAnswer{ damagedHead("200", {}, length) + "{}", Then::Close };
        });
        const std::string address = store.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        StoreClient client(SocketAddress{ "127.0.0.1", port });
        CHECK(errorOf(client.newestRevision(ReadFreshness::MayBeStale)).code == ErrorCode::PlatformUnavailable);
    }
}
