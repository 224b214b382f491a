// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Trailers of chunked requests and answers, which never count as headers.

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

constexpr const char *trailers = "X-Request-Id: other\r\nX-Priority: 0\r\nX-Extra: 1\r\n";

} // namespace

TEST_CASE_FIXTURE(GatewaySite, "Chunked request, trailers, reach the upstream in no form and change none of its headers")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    RawCaller caller(address());
    caller.send(std::string("POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "4\r\nbody\r\n0\r\n")
                + trailers + "\r\n");
    const SeenAnswer answer = caller.receive();
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
    REQUIRE(upstream.seen().size() == 1);
    const SeenRequest seen = upstream.seen().front();
    CHECK(idOf(seen) == "id1");
    CHECK(seen.headers.at("x-priority") != "0");
    CHECK_FALSE(seen.headers.contains("x-extra"));
}

TEST_CASE_FIXTURE(GatewaySite, "Chunked answer, trailers, reach the caller neither as headers nor as trailers")
{
    ScriptedUpstream upstream([](const SeenRequest &request) {
        const bool streams = request.requestLine.find("/stream/") != std::string::npos;
        const std::string body = streams ? eventChunk(1, 2) : "4\r\nbody\r\n";
        return ScriptedAnswer{ streamHead(idOf(request)) + body + "0\r\n" + trailers + "\r\n" };
    });
    addUpstream("u1", upstream.address());
    for (const char *path : { "/plain/a", "/stream/a" }) {
        CAPTURE(path);
        const SeenAnswer answer = ask(path, "id1");
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.head.find("X-Extra") == std::string::npos);
        CHECK(answer.head.find("other") == std::string::npos);
        CHECK(answer.trailer.find("X-Extra") == std::string::npos);
    }
}
