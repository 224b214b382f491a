// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers that name no request: whose they are is known only on a connection that has carried nothing else.

#include "portpaddle/net/spawn.h"
#include "portpaddle/streams/memory_move.h"
#include "support/gateway_site.h"
#include "support/plain_orders.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <string>

using namespace Portpaddle;

namespace {

const std::string signedSuccess = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad";
const std::string failure = "HTTP/1.1 500 Failed\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad";
const std::string missing = "HTTP/1.1 404 Missing\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad";
const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string stream
    = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(1, 2) + lastChunk;
const std::array<std::string, 5> namelessAnswers{ signedSuccess, failure, missing, refusal, stream };

/// Two upstreams that send what the test sets in front of their answers.
class NamelessFixture : public GatewaySite
{
public:
    NamelessFixture()
    {
        addUpstream("u1", one.address());
        addUpstream("u2", other.address());
    }

    ScriptedAnswer answer(const SeenRequest &request)
    {
        const std::string surplus = isGarbling ? inFront : std::string();
        const std::string own = isSilent && isGarbling ? std::string() : wholeAnswer(idOf(request), "own");
        return { surplus + own };
    }

    /// Returns the number of requests that upstreams received.
    std::size_t seen() const
    {
        return one.seen().size() + other.seen().size();
    }

    std::atomic<bool> isGarbling{ false };
    /// Whether nothing follows what is in front.
    bool isSilent = false;
    std::string inFront;
    ScriptedUpstream one{ [this](const SeenRequest &request) { return answer(request); } };
    ScriptedUpstream other{ [this](const SeenRequest &request) { return answer(request); } };
};

} // namespace

TEST_CASE("Nameless answer, of any kind on a kept connection, reaches no caller and lets no second upstream run the request")
{
    for (const std::string &inFront : namelessAnswers) {
        for (const char *path : { "/once/a", "/stream/a" }) {
            CAPTURE(inFront);
            CAPTURE(path);
            NamelessFixture site;
            site.inFront = inFront;
            CHECK(site.ask("/once/a", "id1").body == "own");
            site.isGarbling = true;
            const SeenAnswer answer = site.ask(path, "id2");
            CHECK(answer.status == 502);
            CHECK(answer.body.find("bad") == std::string::npos);
            CHECK(site.seen() == 2);
            site.isGarbling = false;
            CHECK(site.ask("/once/a", "id3").body == "own");
            CHECK(site.one.connections() + site.other.connections() == 2);
        }
    }
}

TEST_CASE("Nameless answer, no refusal on a new connection, reaches no caller")
{
    for (const std::string &inFront : { signedSuccess, failure, missing, stream }) {
        CAPTURE(inFront);
        NamelessFixture site;
        site.inFront = inFront;
        site.isSilent = true;
        site.isGarbling = true;
        CHECK(site.ask("/once/a", "id1").status == 502);
        CHECK(site.seen() == 1);
    }
}

TEST_CASE_FIXTURE(NamelessFixture, "Nameless refusal, first answer of a new connection, is that of the request")
{
    inFront = refusal;
    isSilent = true;
    isGarbling = true;
    CHECK(ask("/once/a", "id1").status == 503);
    CHECK(seen() == 2);
}

TEST_CASE_FIXTURE(NamelessFixture, "Nameless refusal, after a late answer on a new connection, proves nothing")
{
    inFront = wholeAnswer("earlier", "bad") + refusal;
    isSilent = true;
    isGarbling = true;
    CHECK(ask("/once/a", "id1").status == 502);
    CHECK(seen() == 1);
}

TEST_CASE("Order to an upstream, surplus answer on its kept connection, takes the order's own answer")
{
    ScriptedUpstream upstream([](const SeenRequest &request) {
        const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7";
        return ScriptedAnswer{ request.connection == 0 ? signedSuccess + own : own };
    });
    boost::asio::io_context loop{ 1 };
    ConnectionPool pool{ loop.get_executor() };
    UpstreamRecord source;
    source.id = "u1";
    source.address = upstream.address();
    const PlainOrders orders;
    MemoryMove moved;
    spawnTask(loop.get_executor(), "order", [&]() -> Task<void> {
        UpstreamConnection *opening = nullptr;
        NetError error;
        auto kept = co_await pool.connect(source.id, source.address, std::chrono::hours(1), &opening, error);
        kept->usableUntil = SteadyTime::max();
        pool.keep(source.id, std::move(kept));
        moved = co_await sendMoveOrder(pool, orders, orders.copy("id1", "10.0.0.1:80"), source, std::chrono::hours(1),
                                       [](const UpstreamRecord &, const boost::beast::http::response_header<> &) {});
    });
    loop.run();
    CHECK(moved.memorySource == source.address + "/h7");
}
