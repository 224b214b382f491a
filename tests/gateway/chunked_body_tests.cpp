// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What surrounds the bytes of a chunked body: extensions and trailers, which have a bound and are served within it.

#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

class ChunkedBodies : public GatewaySite
{
public:
    ChunkedBodies() : upstream(echo)
    {
        addUpstream("u1", upstream.address());
        // No connection ends for its time within a test.
        routes.limits.idleTimeout = std::chrono::minutes(5);
        publishRoutes();
    }

    /// Sends a request with the chunked body @p body.
    SeenAnswer askChunked(const std::string &body, const std::string &to)
    {
        RawCaller caller(to);
        caller.send("POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
        const SeenAnswer answer = caller.receive();
        CHECK_FALSE(caller.hung());
        return answer;
    }

    /// Returns a trailer of @p size bytes.
    static std::string trailer(std::size_t size)
    {
        const std::string begin = "X-Field: ";
        return begin + std::string(size - begin.size() - 2, 'x') + "\r\n";
    }

    ScriptedUpstream upstream;
};

} // namespace

TEST_CASE_FIXTURE(ChunkedBodies, "Chunked request, trailer as long as a head may be, is served")
{
    const SeenAnswer answer = askChunked("4\r\nbody\r\n0\r\n" + trailer(routes.limits.headerBytes) + "\r\n", address());
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
}

TEST_CASE_FIXTURE(ChunkedBodies, "Chunked request, extension of a chunk within the bound of its line, is served")
{
    const std::string extension(PeerBounds::chunkLineBytes, 'x');
    const SeenAnswer answer = askChunked("4;x=" + extension + "\r\nbody\r\n0\r\n\r\n", address());
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
}

TEST_CASE_FIXTURE(ChunkedBodies, "Chunked request, bytes around its chunks without end, is refused from callers and from daemons")
{
    const std::size_t beyond = 4 * routes.limits.headerBytes;
    for (const std::string &body :
         { "4\r\nbody\r\n0\r\n" + trailer(beyond), "4;x=" + std::string(beyond, 'x'), std::string(beyond, '0') }) {
        CAPTURE(body.substr(0, 12));
        for (const std::string &to : { address(), linkAddress() }) {
            const SeenAnswer answer = askChunked(body, to);
            CHECK((answer.status == HttpStatus::headerTooLarge || !answer.whole));
        }
    }
    CHECK(upstream.seen().empty());
    CHECK(ask("/plain/a", "id2").status == 200);
}

TEST_CASE_FIXTURE(ChunkedBodies, "Chunked request, lower bound of heads than the bytes read ahead, is served")
{
    routes.limits.headerBytes = 512;
    publishRoutes();
    RawCaller caller(address());
    const std::string request = "POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4\r\nbody\r\n0\r\n\r\n";
    std::string requests;
    while (requests.size() < 2 * PeerBounds::callerReadAheadBytes) {
        requests += request;
    }
    caller.send(requests);
    for (std::size_t count = requests.size() / request.size(); count > 0; --count) {
        CHECK(caller.receive().status == 200);
    }
}
