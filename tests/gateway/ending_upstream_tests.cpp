// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers that have neither a length nor chunks, of upstreams whose process ends while they send them.

#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

/// Two upstreams. The one that is asked first sends a part of its answer and closes the connection after its end was announced.
class EndingUpstreamFixture : public GatewaySite
{
public:
    EndingUpstreamFixture()
    {
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            upstreams[index] = std::make_unique<ScriptedUpstream>(
                [this, index](const SeenRequest &request) { return answer(request, index); });
            addUpstream(nameOf(index), upstreams[index]->address());
        }
    }

    ~EndingUpstreamFixture()
    {
        released = true;
    }

    static std::string nameOf(std::size_t index)
    {
        return "u" + std::to_string(index);
    }

    /// Asks, calls @p atPart with the index of the first upstream once it has sent a part, and lets it close the connection.
    SeenAnswer askWhile(const std::string &path, const std::function<void(std::size_t)> &atPart)
    {
        RawCaller caller(address());
        caller.send(request(path, "id1"));
        REQUIRE(eventually([this] { return first >= 0; }));
        atPart(static_cast<std::size_t>(first));
        released = true;
        return caller.receive();
    }

    SeenAnswer askWhileProcessEnds(const std::string &path)
    {
        return askWhile(path, [this](std::size_t index) {
            announceEnd(nameOf(index), upstreams[index]->address());
            upstreams[index]->refuseConnections();
        });
    }

    std::array<std::unique_ptr<ScriptedUpstream>, 2> upstreams;
    std::atomic<int> first{ -1 };
    std::atomic<bool> released{ false };
    /// Status of the answers.
    unsigned status = 200;

private:
    ScriptedAnswer answer(const SeenRequest &request, std::size_t index)
    {
        const bool streams
            = request.requestLine.find("/plain/") == std::string::npos && request.requestLine.find("/once/") == std::string::npos;
        const bool isFirst = first < 0;
        std::string head = openStreamHead(idOf(request));
        head.replace(head.find("200"), 3, std::to_string(status));
        if (!isFirst) {
            const unsigned last = request.headers.contains("last-event-id") ? 3 : 0;
            return { head + (streams ? events(last + 1, 6) : std::string("whole")), Then::Close };
        }
        first = static_cast<int>(index);
        return { head + (streams ? events(1, 3) : std::string("part")), Then::Close,
                 [this] { eventually([this] { return released.load(); }); } };
    }
};

} // namespace

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Stream that ends with its connection, process of its upstream ends, is not told as whole")
{
    const SeenAnswer answer = askWhileProcessEnds("/stream/a");
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Stream that ends with its connection, resumable, process of its upstream ends, gets its rest")
{
    const SeenAnswer answer = askWhileProcessEnds("/resume/a");
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 6));
}

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Answer that ends with its connection, process of its upstream ends, is not told as whole")
{
    CHECK(askWhileProcessEnds("/once/a").status == 502);
}

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Failure that ends with its connection, process of its upstream ends, is not told as whole")
{
    status = 500;
    const SeenAnswer answer = askWhileProcessEnds("/once/a");
    CHECK(answer.status == 502);
    CHECK(answer.body.find("part") == std::string::npos);
}

TEST_CASE_FIXTURE(EndingUpstreamFixture, "Answer that ends with its connection, process of its upstream ends, is asked for again")
{
    const SeenAnswer answer = askWhileProcessEnds("/plain/a");
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
}

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Stream that ends with its connection, record of its upstream removed and process ended, is not told as whole")
{
    const SeenAnswer answer = askWhile("/stream/a", [this](std::size_t index) {
        removeUpstream(nameOf(index));
        upstreams[index]->refuseConnections();
    });
    CHECK_FALSE(answer.whole);
}

TEST_CASE_FIXTURE(EndingUpstreamFixture, "Stream that ends with its connection, upstream leaves and lives, is whole")
{
    const SeenAnswer answer
        = askWhile("/stream/a", [this](std::size_t index) { announceEnd(nameOf(index), upstreams[index]->address()); });
    CHECK(answer.whole);
    CHECK(answer.body == events(1, 3));
}

TEST_CASE_FIXTURE(EndingUpstreamFixture,
                  "Stream that ends with its connection, upstream does not leave, is whole without a question")
{
    const SeenAnswer answer = askWhile("/stream/a", [](std::size_t) {});
    CHECK(answer.whole);
    CHECK(upstreams[0]->connections() + upstreams[1]->connections() == 1);
}
