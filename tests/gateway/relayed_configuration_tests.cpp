// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests relayed between daemons that have different versions of the configuration. The gateway of a GatewaySite has version 1.

#include "portpaddle/stream_versions/stream_key.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <utility>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr const char *newer = "X-Portpaddle-Configuration: 2 e1\r\n";
constexpr const char *olderRefusal
    = "HTTP/1.1 503 Older\r\nX-Request-Id: @id\r\nX-Portpaddle-Outcome: not_run\r\nX-Portpaddle-Sends: 0\r\n"
      "X-Portpaddle-Configuration: 1 e1\r\nContent-Length: 0\r\n\r\n";
const std::string unversioned = std::string(streamVersionHeader) + ": " + encodeVersionKey(versionKeyOf("")) + "\r\n";

ScriptedAnswer refuseAsOlder(const SeenRequest &)
{
    return { olderRefusal };
}

std::string streamOfVersion(const SeenRequest &request)
{
    std::string head = streamHead(idOf(request));
    return head.insert(head.find("\r\n") + 2, unversioned);
}

/// A daemon whose upstream answers, asked by another one; it does not wait for newer configurations unless a test says so.
class ReceiverFixture : public GatewaySite
{
public:
    ReceiverFixture() : upstream(echo)
    {
        addUpstream("u1", upstream.address());
        terms.catchUpWait = 0ms;
        setOptions();
    }

    ScriptedUpstream upstream;
};

/// A daemon without upstreams, and two others that take its requests.
class SenderFixture : public GatewaySite
{
public:
    SenderFixture()
    {
        ++routes.version;
        publishRoutes();
    }

    void answerAs(ScriptedUpstream::Script e1, ScriptedUpstream::Script e2, const std::string &secondRegion = "east")
    {
        first = std::make_unique<ScriptedUpstream>(std::move(e1));
        second = std::make_unique<ScriptedUpstream>(std::move(e2));
        addRemoteDaemon("e1", "east", first->address(), {});
        addRemoteDaemon("e2", secondRegion, second->address(), {});
    }

    SeenAnswer askForward(const std::string &path, const std::string &id)
    {
        return ask(path, id, {}, "body");
    }

    std::unique_ptr<ScriptedUpstream> first;
    std::unique_ptr<ScriptedUpstream> second;
};

} // namespace

TEST_CASE_FIXTURE(ReceiverFixture, "Relayed request, accepted under a newer configuration, is handed back and not run")
{
    const SeenAnswer answer = askAsDaemon("/plain/a", "id1", newer);
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Sends: 0") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Configuration: 1 d\r\n") != std::string::npos);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(ReceiverFixture, "Relayed request, route only in the newer configuration, is not said to have no route")
{
    CHECK(askAsDaemon("/new/a", "id1", newer).status == 503);
    CHECK(askAsDaemon("/new/a", "id2").status == 404);
}

TEST_CASE_FIXTURE(ReceiverFixture,
                  "Relayed request, accepted under the same, an older, an unreadable or an unnamed version, runs")
{
    for (const char *named : { "1 e1", "0 e1", "2", "2 ", "x e1", "-2 e1", "99999999999999999999 e1", "" }) {
        CAPTURE(named);
        const std::string header = std::string("X-Portpaddle-Configuration: ") + named + "\r\n";
        CHECK(askAsDaemon("/plain/a", "id1", *named == '\0' ? std::string() : header).status == 200);
    }
}

TEST_CASE_FIXTURE(ReceiverFixture, "Relayed request, sender hands the newer configuration over, runs under it")
{
    terms.catchUpWait = 20s;
    setOptions();
    addRemoteDaemon("e1", "east", "127.0.0.1:7", {});
    std::promise<std::string> asked;
    onLoop([&asked](Gateway &gateway) {
        gateway.setCatchUp([&asked, first = true](const std::string &address) mutable {
            if (std::exchange(first, false)) {
                asked.set_value(address);
            }
        });
    });
    RawCaller sender(linkAddress());
    sender.send(request("/new/a", "id1", newer));
    CHECK(asked.get_future().get() == "127.0.0.1:7");
    Route added = routes.routes.front();
    added.pathPrefix = "/new/";
    routes.routes.push_back(added);
    publishRoutes();
    CHECK(sender.receive().status == 200);
    onLoop([](Gateway &gateway) { gateway.setCatchUp([](const std::string &) {}); });
}

TEST_CASE_FIXTURE(ReceiverFixture,
                  "Relayed request, a daemon that the store does not list named as newer, is handed back and nobody asked")
{
    std::atomic<bool> asked{ false };
    terms.catchUpWait = 1ms;
    setOptions();
    onLoop([&asked](Gateway &gateway) { gateway.setCatchUp([&asked](const std::string &) { asked = true; }); });
    CHECK(askAsDaemon("/plain/a", "id1", newer).status == 503);
    onLoop([](Gateway &gateway) { gateway.setCatchUp([](const std::string &) {}); });
    CHECK_FALSE(asked);
}

TEST_CASE_FIXTURE(ReceiverFixture, "Request of a caller, with a version of the configuration, runs and does not pass it on")
{
    CHECK(ask("/plain/a", "id1", newer).status == 200);
    REQUIRE(upstream.seen().size() == 1);
    CHECK_FALSE(upstream.seen().front().headers.contains("x-portpaddle-configuration"));
}

TEST_CASE_FIXTURE(SenderFixture, "Forwarded request, names the configuration and the daemon that has it")
{
    answerAs(echo, echo);
    CHECK(askForward("/plain/a", "id1").status == 200);
    const std::vector<SeenRequest> seen = first->seen().empty() ? second->seen() : first->seen();
    REQUIRE(seen.size() == 1);
    REQUIRE(seen.front().headers.contains("x-portpaddle-configuration"));
    CHECK(seen.front().headers.at("x-portpaddle-configuration") == std::to_string(routes.version - 1) + " d");
}

TEST_CASE_FIXTURE(SenderFixture,
                  "Request with one attempt, handed back as accepted under a newer configuration, runs at another daemon")
{
    answerAs(refuseAsOlder, echo);
    for (int index = 0; index < 20; ++index) {
        CHECK(askForward("/single/a", "id" + std::to_string(index)).status == 200);
    }
    CHECK(second->seen().size() == 20);
    // Only until the first request was handed back.
    CHECK(first->seen().size() <= 1);
}

TEST_CASE_FIXTURE(SenderFixture,
                  "Region, its only daemon has an older configuration, gets no requests that another region can take")
{
    answerAs(refuseAsOlder, echo, "west");
    for (int index = 0; index < 20; ++index) {
        CHECK(askForward("/single/a", "id" + std::to_string(index)).status == 200);
    }
    CHECK(second->seen().size() == 20);
    CHECK(first->seen().size() <= 1);
}

TEST_CASE_FIXTURE(SenderFixture, "Request, all other daemons have an older configuration, is refused as not run")
{
    answerAs(refuseAsOlder, refuseAsOlder);
    CHECK(askForward("/plain/a", "id1").status == 503);
    CHECK(askForward("/plain/a", "id2").status == 503);
}

TEST_CASE_FIXTURE(SenderFixture,
                  "Rest of a begun stream, handed back as accepted under a newer configuration, is asked for again")
{
    std::atomic<unsigned> asked{ 0 };
    const auto script = [&asked](const SeenRequest &request) {
        switch (asked++) {
        case 0:
            return ScriptedAnswer{ streamOfVersion(request) + eventChunk(1, 2), ScriptedAnswer::Then::Close };
        case 1:
        case 2:
        case 3:
            return ScriptedAnswer{ olderRefusal };
        default:
            return ScriptedAnswer{ streamOfVersion(request) + eventChunk(3, 4) + lastChunk };
        }
    };
    answerAs(script, script, "west");
    const SeenAnswer answer = askForward("/resume/a", "id1");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 4));
}
