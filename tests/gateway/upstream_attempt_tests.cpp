// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// One attempt of a request: the check before sending on an open connection, and the answers that are reported.

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/net/spawn.h"
#include "support/recording_caller.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

/// Runs one attempt against a scripted upstream.
class AttemptFixture
{
public:
    AttemptReport send(const ScriptedUpstream &upstream)
    {
        HttpRequest message(boost::beast::http::verb::post, "/plain/a", 11);
        message.set(names.requestId, "id1");
        const CallerRequest request = decodeRequest(std::move(message), names, BootClock::now());
        AttemptPlan plan;
        plan.peer = "u1";
        plan.streamed = streamed;
        plan.address = upstream.address();
        plan.expectedUpstream = "u1";
        AttemptCallbacks callbacks;
        callbacks.maySend = [this] { return upstreamAccepts; };
        callbacks.sending = [this] { sent = true; };
        callbacks.headReceived = [this](const AnswerNotice &notice) { notices.push_back(notice); };
        callbacks.firstEvent = [] {};
        callbacks.eventsReceived = [](std::size_t) {};
        callbacks.bytesReceived = [this] { ++signsOfLife; };
        UpstreamAttempt attempt(pool, answerMemory, names, request, caller, progress);
        AttemptReport report;
        spawnTask(loop.get_executor(), "attempt", [&]() -> Task<void> { report = co_await attempt.run(plan, callbacks); });
        loop.restart();
        loop.run();
        return report;
    }

    boost::asio::io_context loop{ 1 };
    ConnectionPool pool{ loop.get_executor() };
    bool streamed = false;
    unsigned signsOfLife = 0;
    MemoryBudget answerMemory;
    HeaderNames names;
    RecordingCaller connection;
    CallerWriter caller{ connection };
    StreamProgress progress;
    /// Whether the upstream may still be sent requests once the connection is open.
    bool upstreamAccepts = true;
    bool sent = false;
    std::vector<AnswerNotice> notices;
};

} // namespace

TEST_CASE_FIXTURE(AttemptFixture, "Attempt, upstream excluded while the connection opens, is sent nothing")
{
    ScriptedUpstream upstream(echo);
    upstreamAccepts = false;
    const AttemptReport report = send(upstream);
    CHECK(report.withheld);
    CHECK_FALSE(report.sent);
    CHECK_FALSE(sent);
    CHECK(report.end == AttemptEnd::NotRun);
    CHECK(pool.open("u1") == 0);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(AttemptFixture,
                  "Attempt, late answer before its own, reports both and does not count the late one as from the upstream")
{
    ScriptedUpstream upstream([](const SeenRequest &request) {
        return ScriptedAnswer{ wholeAnswer("earlier", "", "X-Upstream-Leaving: 1\r\n") + wholeAnswer(idOf(request), "") };
    });
    const AttemptReport report = send(upstream);
    CHECK(report.end == AttemptEnd::Complete);
    REQUIRE(notices.size() == 2);
    CHECK(notices[0].leaving == LeavingNotice::Leaving);
    CHECK_FALSE(notices[0].fromUpstream);
    CHECK(notices[1].leaving == LeavingNotice::Absent);
    CHECK(notices[1].fromUpstream);
}

TEST_CASE_FIXTURE(AttemptFixture,
                  "Attempt, refusal with Retry-After, is neither passed to the caller nor an error of the upstream")
{
    ScriptedUpstream upstream([](const SeenRequest &) {
        return ScriptedAnswer{ "HTTP/1.1 503 Busy\r\nX-Request-Id: @id\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n" };
    });
    const AttemptReport report = send(upstream);
    CHECK(report.turnedAway);
    CHECK_FALSE(report.error.retryAfter.has_value());
}

TEST_CASE_FIXTURE(AttemptFixture, "Stream, broken off before its first event, is no sign of life of its upstream")
{
    streamed = true;
    const ScriptedUpstream upstream([](const SeenRequest &request) {
        return ScriptedAnswer{ streamHead(idOf(request)), ScriptedAnswer::Then::Reset };
    });
    CHECK(send(upstream).end == AttemptEnd::Broken);
    CHECK(signsOfLife == 0);
}
