// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers that begin before the request was written, on connections that are reset meanwhile.

#include "platform/store_client.h"
#include "portpaddle/upstream/http_upstream_client.h"
#include "support/gateway_site.h"
#include "support/recording_sink.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

// Far more than the buffers of a connection hold, so that an upstream that doesn't read it interrupts the writing.
constexpr std::size_t uploadBytes = 24 * 1024 * 1024;
// Less than the buffers of a connection hold.
constexpr std::size_t longBodyBytes = 64 * 1024;

const std::string upload(uploadBytes, 'u');
const std::string openHead = std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\n\r\n";
const std::string openFailure = std::string("HTTP/1.1 500 Failed\r\n") + ownId + "X-Signature: s\r\n\r\n";

bool isStream(const SeenRequest &request)
{
    return request.requestLine.starts_with("POST /stream") || request.requestLine.starts_with("POST /resume");
}

/// Returns an answer that ends with its connection.
std::string openAnswer(const SeenRequest &request)
{
    return isStream(request) ? openStreamHead(idOf(request)) + events(1, 2) : openHead + "begun";
}

/// An upstream that answers before it reads a long body, and one that reads it.
class EarlyAnswerFixture : public GatewaySite
{
public:
    EarlyAnswerFixture()
    {
        routes.limits.bodyBytes = 2 * uploadBytes;
        terms.bodyMemoryBytes = 8 * uploadBytes;
        setOptions();
        publishRoutes();
        addUpstream("u1", early.address());
    }

    ScriptedAnswer answer(const SeenRequest &request) const
    {
        return { bytes.empty() ? openAnswer(request) : bytes, then, atAnswer };
    }

    SeenAnswer upload(const std::string &path)
    {
        return ask(path, "id1", {}, ::upload);
    }

    SeenAnswer uploadAsDaemon(const std::string &path)
    {
        return askAsDaemon(path, "id1", {}, ::upload);
    }

    /// Empty for an answer that ends with its connection.
    std::string bytes;
    Then then = Then::Reset;
    /// Called between the bytes and the end of the connection.
    std::function<void()> atAnswer = [] {};
    ScriptedUpstream early{ [this](const SeenRequest &request) { return answer(request); }, AnswersAfter::Head };
};

StoreClient clientOf(const ScriptedUpstream &store)
{
    const std::string address = store.address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    return StoreClient(SocketAddress{ "127.0.0.1", port });
}

ScriptedUpstream peerThatResetsAfter(const std::string &bytes)
{
    return ScriptedUpstream([bytes](const SeenRequest &) { return ScriptedAnswer{ bytes, Then::Reset }; }, AnswersAfter::Head);
}

} // namespace

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early answer without a length, reset while its request is written, is no complete answer")
{
    for (const char *path : { "/once/a", "/single/a", "/plain/a" }) {
        CAPTURE(path);
        const SeenAnswer answer = upload(path);
        CHECK(answer.status == 502);
        CHECK(answer.body.find("begun") == std::string::npos);
    }
}

TEST_CASE_FIXTURE(EarlyAnswerFixture,
                  "Early failure without a length, reset while its request is written, does not reach the caller")
{
    bytes = openFailure + "begun";
    const SeenAnswer answer = upload("/once/a");
    CHECK(answer.status == 502);
    CHECK(answer.body.find("begun") == std::string::npos);
}

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early answer beyond the memory for answers, reset while its request is written, is cut")
{
    terms.answerMemoryBytes = longBodyBytes / 2;
    setOptions();
    bytes = openHead + std::string(longBodyBytes, 'x');
    const SeenAnswer answer = upload("/once/a");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.whole);
}

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early stream without a length, reset while its request is written, does not end as whole")
{
    for (const char *path : { "/stream/a", "/resume/a" }) {
        CAPTURE(path);
        const SeenAnswer answer = upload(path);
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.whole);
        CHECK(answer.body == events(1, 2));
    }
}

TEST_CASE_FIXTURE(EarlyAnswerFixture,
                  "Early answer without a length, reset while its request is written, is replaced where it may be")
{
    ScriptedUpstream sound([](const SeenRequest &request) {
        return ScriptedAnswer{ isStream(request) ? streamHead(idOf(request)) + eventChunk(3, 4) + lastChunk
                                                 : wholeAnswer(idOf(request), "own") };
    });
    // The upstream that resets is the only one until it has the request.
    atAnswer = [&] { addUpstream("u2", sound.address()); };
    for (const auto &[path, body] : { std::pair("/plain/a", std::string("own")), std::pair("/resume/a", events(1, 4)) }) {
        CAPTURE(path);
        removeUpstream("u2");
        const SeenAnswer answer = upload(path);
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == body);
    }
}

TEST_CASE_FIXTURE(EarlyAnswerFixture,
                  "Early answer to another daemon's request, reset while it is written, is a failure that may have run")
{
    const SeenAnswer answer = uploadAsDaemon("/once/a");
    CHECK(answer.status == 502);
    CHECK(answer.head.find("X-Portpaddle-Outcome") == std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Sends: 1") != std::string::npos);
}

TEST_CASE("Early answer of another daemon, reset while its request is written, is no complete answer")
{
    EarlyAnswerFixture site;
    site.removeUpstream("u1");
    site.addRemoteDaemon("e1", "east", site.early.address(), {});
    CHECK(site.upload("/once/a").status == 502);
}

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early answer with an end of its own, reset after it, reaches the caller")
{
    const std::string signedHead = std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\n";
    for (const char *framed : { "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
        CAPTURE(framed);
        bytes = signedHead + framed;
        const SeenAnswer answer = upload("/once/a");
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == "body");
    }
}

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early answer without a length, finished and then reset, is no complete answer")
{
    then = Then::FinishAndReset;
    CHECK(upload("/once/a").status == 502);
    CHECK_FALSE(upload("/stream/a").whole);
}

TEST_CASE_FIXTURE(EarlyAnswerFixture,
                  "Early answer without a length, whose upstream reads the request and finishes, reaches the caller")
{
    then = Then::FinishAndRead;
    const SeenAnswer answer = upload("/once/a");
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(answer.body == "begun");
    const SeenAnswer stream = upload("/stream/a");
    CHECK(stream.whole);
    CHECK(stream.body == events(1, 2));
}

TEST_CASE_FIXTURE(EarlyAnswerFixture, "Early stream without an event, reset while its request is written, is no stream")
{
    bytes = std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
    CHECK(upload("/stream/a").status == 502);
}

TEST_CASE("Early answer without a length to a daemon on settings, reset while its request is written, is incomplete")
{
    const ScriptedUpstream upstream = peerThatResetsAfter("HTTP/1.1 200 OK\r\n\r\nbegun");
    HttpUpstreamClient client;
    Call call;
    call.method = "POST";
    call.path = "/v1/run";
    call.body = upload;
    RecordingSink sink;
    const AttemptResult result = client.attempt(upstream.address(), call, Millis(20'000), sink);
    CHECK(result.end == AttemptEnd::Broken);
    CHECK(result.error.run == RunState::MayHaveRun);
}

TEST_CASE("Early answer of the store without a length, reset while a record is written, is an unavailable store")
{
    const ScriptedUpstream store = peerThatResetsAfter("HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}");
    StoreClient client = clientOf(store);
    const Result<std::uint64_t> written = client.write("k", upload, noLease);
    REQUIRE_FALSE(isOk(written));
    CHECK(errorOf(written).code == ErrorCode::PlatformUnavailable);
}
