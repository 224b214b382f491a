// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Memory that a daemon holds for callers that send or read slowly.

#include "portpaddle/gateway/gateway.h"
#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;

/// A site with little memory for bodies and answers.
class SlowReaderFixture : public GatewaySite
{
public:
    SlowReaderFixture()
    {
        terms.bodyMemoryBytes = 64 * kilobyte;
        terms.answerMemoryBytes = 64 * kilobyte;
        setOptions();
    }

    std::size_t bodyBytes()
    {
        std::size_t bytes = 0;
        onLoop([&bytes](Gateway &gateway) { bytes = gateway.bodyMemory()->usedBytes(); });
        return bytes;
    }

    std::size_t inProgress()
    {
        std::size_t requests = 0;
        onLoop([&requests](Gateway &gateway) { requests = gateway.inProgress(); });
        return requests;
    }

    /// Returns a caller that announces a body of @p announced bytes and sends @p sent of them.
    std::unique_ptr<RawCaller> stallingCaller(std::size_t announced, std::size_t sent)
    {
        auto caller = std::make_unique<RawCaller>(address());
        caller->send(fmt::format("POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: {}\r\n\r\n", announced)
                     + std::string(sent, 'b'));
        return caller;
    }

    ScriptedUpstream upstream{ echo };
};

/// Answers every request with @p bytes bytes.
ScriptedUpstream::Script answering(std::size_t bytes)
{
    return [bytes](const SeenRequest &request) { return ScriptedAnswer{ wholeAnswer(idOf(request), std::string(bytes, 'a')) }; };
}

} // namespace

TEST_CASE_FIXTURE(SlowReaderFixture, "Request bodies, a caller stalls within its body, count as far as they were received")
{
    addUpstream("u1", upstream.address());
    const auto stalled = stallingCaller(60 * kilobyte, 50 * kilobyte);
    REQUIRE(eventually([this] { return bodyBytes() == 50 * kilobyte; }));
    const SeenAnswer refused = ask("/plain/x", "b", {}, std::string(20 * kilobyte, 'b'));
    CHECK(refused.status == 503);
    CHECK(refused.head.find("Retry-After: ") != std::string::npos);
    CHECK(upstream.seen().empty());
    CHECK(ask("/plain/x", "c", {}, std::string(5 * kilobyte, 'b')).status == 200);

    stalled->leave();
    REQUIRE(eventually([this] { return bodyBytes() == 0; }));
    CHECK(ask("/plain/x", "d", {}, std::string(20 * kilobyte, 'b')).status == 200);
}

TEST_CASE_FIXTURE(SlowReaderFixture, "Request bodies, one that cannot fit is announced, is refused before it is sent")
{
    addUpstream("u1", upstream.address());
    const auto caller = stallingCaller(100 * kilobyte, 0);
    CHECK(caller->receive().status == 503);
    CHECK(bodyBytes() == 0);
}

TEST_CASE_FIXTURE(SlowReaderFixture,
                  "Request bodies, many callers stall, stay within the bound while requests without a body are served")
{
    addUpstream("u1", upstream.address());
    constexpr std::size_t callers = 200;
    std::vector<std::unique_ptr<RawCaller>> stalled;
    for (std::size_t index = 0; index < callers; ++index) {
        stalled.push_back(stallingCaller(20 * kilobyte, 10 * kilobyte));
        CHECK(bodyBytes() <= terms.bodyMemoryBytes);
    }
    CHECK(ask("/plain/x", "b").status == 200);
    CHECK(bodyBytes() <= terms.bodyMemoryBytes);
}

TEST_CASE_FIXTURE(SlowReaderFixture, "Answers, one exceeds the memory for answers, is passed on whole")
{
    const ScriptedUpstream large(answering(500 * kilobyte));
    addUpstream("u1", large.address());
    const SeenAnswer answer = ask("/plain/x", "a");
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(answer.body.size() == 500 * kilobyte);
    CHECK(eventually([this] { return inProgress() == 0; }));
}

TEST_CASE_FIXTURE(SlowReaderFixture, "Answers, one that exceeds the memory is cut off, does not look complete")
{
    const ScriptedUpstream cut([](const SeenRequest &request) {
        const std::string whole = wholeAnswer(idOf(request), std::string(500 * kilobyte, 'a'));
        return ScriptedAnswer{ whole.substr(0, whole.size() - 1), ScriptedAnswer::Then::Close };
    });
    addUpstream("u1", cut.address());
    const SeenAnswer answer = ask("/plain/x", "a");
    CHECK_FALSE(answer.whole);
    CHECK(answer.closed);
}

TEST_CASE_FIXTURE(SlowReaderFixture, "Answers, the caller stops reading, end with its connection after the idle timeout")
{
    routes.limits.idleTimeout = 100ms;
    publishRoutes();
    // More than the buffers of both sockets hold.
    const ScriptedUpstream large(answering(32 * kilobyte * kilobyte));
    addUpstream("u1", large.address());
    RawCaller caller(address());
    caller.send(request("/plain/x", "a"));
    REQUIRE(eventually([this] { return inProgress() == 1; }));
    CHECK(eventually([this] { return inProgress() == 0; }));
}

TEST_CASE("Memory share, several of one budget, never exceed it and give back what they took")
{
    MemoryBudget budget(100);
    {
        MemoryShare first(&budget);
        MemoryShare second(&budget);
        CHECK(first.growTo(60));
        CHECK_FALSE(second.growTo(41));
        CHECK(second.growTo(40));
        CHECK(budget.usedBytes() == 100);
        first = std::move(second);
        CHECK(budget.usedBytes() == 40);
        budget.setLimit(30);
        CHECK_FALSE(first.growTo(41));
        CHECK(first.growTo(20));
    }
    CHECK(budget.usedBytes() == 0);
}
