// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Heads whose status is none: not three digits, or the first digit not 1 to 5. They are no answers, and no interim ones either.

#include "ctl/admin_client.h"
#include "platform/store_client.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/control/observer_controller.h"
#include "portpaddle/control/order_controller.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/platform/http_platform.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/damaged_answers.h"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

/// Three digits, which parsers of status lines take.
const std::vector<std::string> outOfRange{ "000", "001", "099", "600", "999" };
const std::vector<std::string> noNumbers{ "1000", "20", "-20", "+20", "abc", "2x0", "" };
/// Interim statuses on heads that no answer follows.
const std::vector<std::string> interimAsFinal{ "100", "103", "150", "199" };
const std::vector<std::string> passedOn{ "200", "250", "302", "404", "499", "500", "599" };

std::vector<std::string> invalidStatuses()
{
    std::vector<std::string> result = outOfRange;
    result.insert(result.end(), noNumbers.begin(), noNumbers.end());
    result.insert(result.end(), interimAsFinal.begin(), interimAsFinal.end());
    return result;
}

/// Returns a signed head with a body of three bytes.
std::string answerWith(const std::string &status, const std::string &more = {})
{
    return "HTTP/1.1 " + status + " S\r\n" + ownId + "X-Signature: s\r\n" + more + "Content-Length: 3\r\n\r\nbad";
}

/// Returns a signed head that an empty body follows.
std::string emptyAnswerWith(const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + " S\r\nX-Request-Id: " + id + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("Status code, of 200 to 599, reaches the caller")
{
    for (const std::string &status : passedOn) {
        CAPTURE(status);
        DamagedAnswerSite site;
        site.bytes = answerWith(status);
        CHECK(site.ask("/once/a", "id1").status == std::stoi(status));
    }
}

TEST_CASE("Status code, invalid in an answer that may not be asked for again, is a failure that may have run")
{
    for (const std::string &status : invalidStatuses()) {
        for (const char *path : { "/once/a", "/stream/a" }) {
            CAPTURE(status);
            CAPTURE(path);
            DamagedAnswerSite site;
            site.bytes = answerWith(status);
            CHECK(site.ask(path, "id1").status == 502);
            CHECK(site.seen() == 1);
        }
    }
}

TEST_CASE("Status code, invalid in an answer that may be asked for again, is replaced by another upstream's answer")
{
    for (const std::string &status : invalidStatuses()) {
        for (const auto &[path, body] : { std::pair("/plain/a", std::string("own")), std::pair("/resume/a", events(1, 2)) }) {
            CAPTURE(status);
            CAPTURE(path);
            DamagedAnswerSite site;
            site.bytes = answerWith(status);
            site.onlyFirst = true;
            const SeenAnswer answer = site.ask(path, "id1");
            CHECK(answer.status == 200);
            CHECK(answer.whole);
            CHECK(answer.body == body);
        }
    }
}

TEST_CASE("Status code, invalid beside a proof that nothing ran, proves nothing")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        DamagedAnswerSite site;
        site.bytes = answerWith(status, "X-Not-Run: 1\r\n");
        CHECK(site.ask("/once/a", "id1").status == 502);
        CHECK(site.seen() == 1);
    }
}

TEST_CASE("Status code, invalid before a whole answer on the same connection, leaves it unknown whose answer that is")
{
    for (const std::string &status : outOfRange) {
        for (const char *id : { "@id", "earlier" }) {
            CAPTURE(status);
            CAPTURE(id);
            DamagedAnswerSite site;
            site.bytes = emptyAnswerWith(status, id) + answerWith("200");
            CHECK(site.ask("/once/a", "id1").status == 502);
            CHECK(site.seen() == 1);
        }
    }
}

TEST_CASE("Status code, invalid on a connection that has served a request, is a failure")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        DamagedAnswerSite site;
        CHECK(site.ask("/once/a", "id1").body == "own");
        site.bytes = answerWith(status);
        CHECK(site.ask("/once/a", "id2").status == 502);
    }
}

TEST_CASE("Status code, invalid in the answer to another daemon's request, is a failure that may have run")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        DamagedAnswerSite site;
        site.bytes = answerWith(status);
        const SeenAnswer answer = site.askAsDaemon("/once/a", "id1");
        CHECK(answer.status == 502);
        CHECK(answer.head.find("X-Portpaddle-Outcome") == std::string::npos);
        CHECK(answer.head.find("X-Portpaddle-Sends: 1") != std::string::npos);
    }
}

TEST_CASE("Status code, invalid in another daemon's answer, is a failure that may have run")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        GatewaySite site;
        const ScriptedUpstream daemon = peerThatSends(answerWith(status, "X-Portpaddle-Outcome: not_run\r\n"));
        site.addRemoteDaemon("e1", "east", daemon.address(), {});
        CHECK(site.ask("/once/a", "id1").status == 502);
        CHECK(daemon.seen().size() == 1);
    }
}

TEST_CASE("Status code, invalid in the rest of a stream, does not end the stream as whole")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        GatewaySite site;
        std::atomic<unsigned> asked{ 0 };
        const auto script = [&asked, &status](const SeenRequest &request) {
            return asked++ == 0 ? ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 2), Then::Close }
                                : ScriptedAnswer{ answerWith(status), Then::Close };
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

TEST_CASE("Status code, invalid in the answer to an order, names no memory and is no answer")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        const MemoryMove moved = orderAnsweredBy(answerWith(status));
        CHECK_FALSE(moved.memorySource.has_value());
        CHECK(moved.status == 0);
        CHECK(moved.outcome.starts_with("no answer"));
    }
}

TEST_CASE("Interim answer, before the answer to an order, is not taken for it")
{
    for (const std::string &status : interimAsFinal) {
        CAPTURE(status);
        const std::string interim = "HTTP/1.1 " + status + " S\r\n\r\n";
        const MemoryMove moved = orderAnsweredBy(interim + interim + answerWith("200"));
        CHECK(moved.status == 200);
        REQUIRE(moved.memorySource.has_value());
        CHECK(moved.memorySource->ends_with("/bad"));
        const MemoryMove unanswered = orderAnsweredBy(interim);
        CHECK(unanswered.status == 0);
        CHECK(unanswered.outcome.starts_with("no answer"));
    }
}

TEST_CASE("Interim answers, without end in the place of the answer to an order, are no answer")
{
    std::string interim;
    while (interim.size() < PeerBounds::orderAnswerBytes) {
        interim += "HTTP/1.1 103 Early\r\n\r\n";
    }
    const MemoryMove moved = orderAnsweredBy(interim + answerWith("200"));
    CHECK(moved.status == 0);
    CHECK_FALSE(moved.memorySource.has_value());
}

TEST_CASE("Status code, invalid in the store's answer, is an unavailable store")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        const ScriptedUpstream store = peerThatSends("HTTP/1.1 " + status + " S\r\nContent-Length: 2\r\n\r\n{}");
        const std::string address = store.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        StoreClient client(SocketAddress{ "127.0.0.1", port });
        const Result<std::uint64_t> newest = client.newestRevision(ReadFreshness::Newest);
        REQUIRE_FALSE(isOk(newest));
        CHECK(errorOf(newest).code == ErrorCode::PlatformUnavailable);
    }
}

TEST_CASE("Status code, invalid in a neighbour's state, is no state")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        const ScriptedUpstream neighbour = peerThatSends("HTTP/1.1 " + status + " S\r\nContent-Length: 2\r\n\r\n{}");
        const PeerStateClient client([&neighbour] { return std::vector<std::string>{ neighbour.address() }; });
        CHECK_FALSE(isOk(client.fetch()));
    }
}

TEST_CASE("Status code, invalid in an upstream's answer to a daemon on settings, is a failure that may have run")
{
    for (const std::string &status : invalidStatuses()) {
        for (const char *more : { "", "X-Run-State: not_run\r\n" }) {
            CAPTURE(status);
            CAPTURE(more);
            RecordingSink sink;
            const AttemptResult result = askOnSettings(answerWith(status, more), sink);
            CHECK(result.end == AttemptEnd::Broken);
            CHECK(result.error.run == RunState::MayHaveRun);
            CHECK(sink.heads() == 0);
        }
    }
}

TEST_CASE("Status code, invalid in an answer to the stand-alone daemon's platform client, order or probe, or to an operator, is "
          "no answer")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        const ScriptedUpstream peer
            = peerThatSends("HTTP/1.1 " + status + " S\r\nContent-Length: 20\r\n\r\n{\"organisation\":\"o\"}");
        const SocketAddress address = valueOf(parseSocketAddress(peer.address()));
        CHECK_FALSE(isOk(HttpPlatform(address, Millis(20'000)).find("digest")));
        CHECK_FALSE(isOk(AdminClient(address, "key").get("/members", {})));
        HttpOrderSender sender;
        CHECK(sender.send({ "u1", peer.address(), OrderKind::Drop, "subject", 7 }) == OrderOutcome::Unknown);
        CHECK_FALSE(fetchLoad("u1", peer.address(), 1, SystemClock()).reachable);
    }
}
