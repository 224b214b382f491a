// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Codings that no reader undoes, and lengths that are none: what the body is, or where it ends, is unknown.

#include "support/damaged_answers.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Portpaddle;
using namespace std::string_literals;

namespace {

const std::string chunkedBody = "3\r\nbad\r\n0\r\n\r\n";

/// Lines that leave the body of an answer unknown, each with a body in chunks.
const std::vector<std::string> unknownCodings{ "Transfer-Encoding: gzip\r\n",
                                               "Transfer-Encoding: gzip, chunked\r\n",
                                               "Transfer-Encoding: chunked, identity\r\n",
                                               "Transfer-Encoding: chunked, gzip\r\n",
                                               "Transfer-Encoding: chunked, chunked\r\n",
                                               "Transfer-Encoding: identity\r\n",
                                               "Transfer-Encoding: xchunked\r\n",
                                               "Transfer-Encoding: chunked;a=b\r\n",
                                               "Transfer-Encoding:\r\n",
                                               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" };
/// Lines that leave the length of an answer unknown, each with a body of three bytes.
const std::vector<std::string> unknownLengths{ "Content-Length: 3, 3\r\n",
                                               "Content-Length: 3,3\r\n",
                                               "Content-Length: 3, 4\r\n",
                                               "Content-Length: 3x\r\n",
                                               "Content-Length: +3\r\n",
                                               "Content-Length: -3\r\n",
                                               "Content-Length:\r\n",
                                               "Content-Length: 0x3\r\n",
                                               "Content-Length: 3 3\r\n",
                                               "Content-Length: 3;a=b\r\n",
                                               "Content-Length: 3\r\nContent-Length: 4\r\n" };
const std::vector<std::string> soundFramings{ "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody,
                                              "Transfer-Encoding: Chunked\r\n\r\n" + chunkedBody, "Content-Length: 3\r\n\r\nbad",
                                              "Content-Length: 03\r\n\r\nbad" };

/// Returns signed answers with @p framing in each place of their heads.
std::vector<std::string> answersWith(const std::string &framing, const std::string &body)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string signature = "X-Signature: s\r\n";
    return { status + framing + ownId + signature + "\r\n" + body, status + ownId + framing + signature + "\r\n" + body,
             status + ownId + signature + framing + "\r\n" + body };
}

std::vector<std::string> brokenAnswers()
{
    std::vector<std::string> answers;
    for (const std::string &coding : unknownCodings) {
        const std::vector<std::string> some = answersWith(coding, chunkedBody);
        answers.insert(answers.end(), some.begin(), some.end());
    }
    for (const std::string &length : unknownLengths) {
        const std::vector<std::string> some = answersWith(length, "bad");
        answers.insert(answers.end(), some.begin(), some.end());
    }
    for (const std::string &both : answersWith("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunkedBody)) {
        answers.push_back(both);
    }
    return answers;
}

} // namespace

TEST_CASE("Body of an answer, in chunks or with a length, reaches the caller as its upstream sent it")
{
    for (const std::string &framed : soundFramings) {
        CAPTURE(framed);
        const std::string bytes = "HTTP/1.1 200 OK\r\n"s + ownId + "X-Signature: s\r\n" + framed;
        DamagedAnswerSite site;
        site.bytes = bytes;
        CHECK(site.ask("/once/a", "id1").body == "bad");
        RecordingSink sink;
        CHECK(askOnSettings(bytes, sink).end == AttemptEnd::Complete);
        CHECK(sink.text() == "bad");
    }
}

TEST_CASE("Body of an answer, of an unknown coding or length, does not reach the caller")
{
    for (const std::string &bytes : brokenAnswers()) {
        CAPTURE(bytes);
        for (const char *path : { "/once/a", "/stream/a" }) {
            CAPTURE(path);
            DamagedAnswerSite site;
            site.bytes = bytes;
            const SeenAnswer answer = site.ask(path, "id1");
            CHECK(answer.status == 502);
            CHECK(site.seen() == 1);
        }
        DamagedAnswerSite again;
        again.bytes = bytes;
        again.onlyFirst = true;
        CHECK(again.ask("/plain/a", "id1").body == "own");
    }
}

TEST_CASE("Body of an answer, of an unknown coding or length, is no answer between daemons")
{
    for (const std::string &bytes : brokenAnswers()) {
        CAPTURE(bytes);
        DamagedAnswerSite asked;
        asked.bytes = bytes;
        CHECK(asked.askAsDaemon("/once/a", "id1").status == 502);
        GatewaySite asking;
        const ScriptedUpstream daemon = peerThatSends(bytes);
        asking.addRemoteDaemon("e1", "east", daemon.address(), {});
        CHECK(asking.ask("/once/a", "id1").status == 502);
    }
}

TEST_CASE("Body of an answer, of an unknown coding or length, is no answer to an order")
{
    for (const std::string &bytes : brokenAnswers()) {
        CAPTURE(bytes);
        CHECK(orderAnsweredBy(bytes).outcome.starts_with("no answer"));
    }
}

TEST_CASE("Body of an answer, of an unknown coding or length, does not reach the caller of a daemon on settings")
{
    for (const std::string &bytes : brokenAnswers()) {
        CAPTURE(bytes);
        RecordingSink sink;
        const AttemptResult result = askOnSettings(bytes, sink);
        CHECK(result.end == AttemptEnd::Broken);
        CHECK(result.error.run == RunState::MayHaveRun);
        CHECK(sink.heads() == 0);
    }
}

TEST_CASE("Body of a request, of an unknown coding or length, is rejected and does not reach an upstream")
{
    std::vector<std::string> requests;
    for (const std::string &coding : unknownCodings) {
        requests.push_back("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\n" + coding + "\r\n" + chunkedBody);
    }
    for (const std::string &length : unknownLengths) {
        requests.push_back("POST /once/a HTTP/1.1\r\n" + length + "Host: h\r\nX-Request-Id: id1\r\n\r\nbad");
        requests.push_back("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\n" + length + "\r\nbad");
    }
    for (const std::string &bytes : requests) {
        CAPTURE(bytes);
        DamagedAnswerSite site;
        RawCaller caller(site.address());
        caller.send(bytes);
        CHECK(caller.receive().status == 400);
        CHECK(caller.closedByPeer());
        CHECK(site.seen() == 0);
    }
}
