// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The bounds of what callers and daemons send: by the configuration in force, and larger for what daemons add.

#include "portpaddle/net/http_status.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace Portpaddle;

namespace {

/// Two daemons: the site itself, which has no upstream, and one of another region that has one.
class TwoDaemons : public GatewaySite
{
public:
    TwoDaemons() : upstream(echo)
    {
        other.addUpstream("u1", upstream.address());
        addRemoteDaemon("e1", "east", other.linkAddress(), {});
    }

    /// Returns a request whose head has @p size bytes, in lines of @p lineSize bytes that grow when they are written again.
    static std::string requestWithHead(std::size_t size, std::size_t lineSize)
    {
        const std::string begin = "POST /plain/a HTTP/1.1\r\nHost:h\r\nX-Request-Id:id1\r\nContent-Length:0\r\n";
        std::string padding;
        while (begin.size() + padding.size() + 2 * lineSize + 2 < size) {
            padding += "P:" + std::string(lineSize - 4, 'x') + "\r\n";
        }
        const std::size_t rest = size - begin.size() - padding.size() - 2;
        return begin + padding + "P:" + std::string(rest - 4, 'x') + "\r\n\r\n";
    }

    SeenAnswer askWithHead(std::size_t size, std::size_t lineSize)
    {
        RawCaller caller(address());
        caller.send(requestWithHead(size, lineSize));
        return caller.receive();
    }

    ScriptedUpstream upstream;
    GatewaySite other;
};

} // namespace

TEST_CASE_FIXTURE(TwoDaemons, "Request, head of the greatest allowed size, relayed, is not refused for what daemons add to it")
{
    const std::size_t greatest = routes.limits.headerBytes;
    for (const std::size_t lineSize : { std::size_t{ 4'096 }, std::size_t{ 64 }, std::size_t{ 5 } }) {
        CAPTURE(lineSize);
        CHECK(askWithHead(greatest, lineSize).status == 200);
    }
}

TEST_CASE_FIXTURE(TwoDaemons, "Request from another daemon, head beyond all that daemons add, is refused")
{
    RawCaller sender(other.linkAddress());
    const std::size_t tooLong = 2 * routes.limits.headerBytes;
    sender.send(requestWithHead(tooLong, tooLong));
    CHECK(sender.receive().status == HttpStatus::headerTooLarge);
}

TEST_CASE_FIXTURE(GatewaySite,
                  "Connection, idle while a configuration changes the limits, goes by those in force at its next request")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    const std::string body(2'000, 'x');
    routes.limits.bodyBytes = 1'000;
    publishRoutes();
    RawCaller caller(address());
    caller.send(request("/plain/a", "id2"));
    REQUIRE(caller.receive().status == 200);
    routes.limits.bodyBytes = 10'000;
    publishRoutes();
    caller.send(request("/plain/a", "id3", {}, body));
    CHECK(caller.receive().status == 200);
    routes.limits.bodyBytes = 1'000;
    publishRoutes();
    caller.send("POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id4\r\nContent-Length: 2000\r\n\r\n");
    CHECK(caller.receive().status == HttpStatus::tooLarge);
}
