// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// One request has one answer with one head, whoever writes it.

#include "portpaddle/callers/caller_writer.h"
#include "portpaddle/net/spawn.h"
#include "support/gateway_site.h"
#include "support/recording_caller.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Portpaddle;

namespace {

enum class Call { AskForBody, Whole, Begin, Chunk, End, Trailer, Abort };

/// Writes an answer by calls in any order.
class WriterFixture
{
public:
    bool make(Call call)
    {
        bool taken = false;
        spawnTask(loop.get_executor(), "answer", [&]() -> Task<void> { taken = co_await perform(call); });
        loop.restart();
        loop.run();
        return taken;
    }

    Task<bool> perform(Call call)
    {
        switch (call) {
        case Call::AskForBody:
            return writer.askForBody();
        case Call::Whole:
            return writer.whole(WholeAnswer());
        case Call::Begin:
            return writer.begin(200, {});
        case Call::Chunk:
            return writer.writeChunk("x");
        case Call::End:
            return writer.end();
        case Call::Trailer:
            return writer.endWithTrailer("name", "value");
        case Call::Abort:
            break;
        }
        return abort();
    }

    Task<bool> abort()
    {
        writer.abort();
        co_return false;
    }

    unsigned times(const std::string &name) const
    {
        unsigned count = 0;
        for (std::size_t at = connection.written.find(name); at != std::string::npos;
             at = connection.written.find(name, at + 1)) {
            ++count;
        }
        return count;
    }

    boost::asio::io_context loop{ 1 };
    RecordingCaller connection;
    CallerWriter writer{ connection };
};

} // namespace

TEST_CASE("Answer, any calls in any order, has one head and nothing after its end but the end of its connection")
{
    const bool holds = rc::check("one answer", [](const std::vector<std::uint8_t> &calls) {
        WriterFixture answer;
        for (const std::uint8_t call : calls) {
            const bool ended = answer.writer.state() == AnswerState::Ended;
            const std::string written = answer.connection.written;
            const bool taken = answer.make(static_cast<Call>(call % 7));
            if (!taken) {
                RC_ASSERT(answer.writer.state() == AnswerState::Ended);
                RC_ASSERT(answer.connection.written == written + "abandoned ");
            }
            RC_ASSERT(!(ended && taken));
        }
        RC_ASSERT(answer.times("head") + answer.times("whole") <= 1);
    });
    CHECK(holds);
}

TEST_CASE_FIXTURE(WriterFixture, "Answer that has begun, second answer of each kind, is cut off in place of a second head")
{
    Call second = Call::Whole;
    SUBCASE("a whole answer")
    {
    }
    SUBCASE("another stream")
    {
        second = Call::Begin;
    }
    SUBCASE("an interim answer")
    {
        second = Call::AskForBody;
    }
    CHECK(make(Call::Begin));
    CHECK(make(Call::Chunk));
    CHECK_FALSE(make(second));
    CHECK(connection.written == "head chunk abandoned ");
    CHECK_FALSE(make(Call::End));
}

TEST_CASE_FIXTURE(GatewaySite, "Body asked for and then too long, has the interim answer, one refusal and the end")
{
    routes.limits.bodyBytes = 8;
    publishRoutes();
    RawCaller caller(address());
    caller.send("POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nExpect: 100-continue\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    caller.send("10\r\n0123456789abcdef\r\n0\r\n\r\n");
    const std::string received = caller.rest();
    CHECK(received.starts_with(interim + "HTTP/1.1 413"));
    CHECK(received.rfind("HTTP/1.1") == interim.size());
}
