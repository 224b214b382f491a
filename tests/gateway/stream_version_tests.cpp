// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams of a service whose upstreams run several software versions: a stream goes on only at the version that began it.

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

/// Two upstreams of different versions that break each new stream off and complete each resumed one.
class TwoVersionsFixture : public GatewaySite
{
public:
    TwoVersionsFixture()
    {
        const auto script = [](const SeenRequest &request) {
            const auto from = request.headers.find("last-event-id");
            if (from == request.headers.end()) {
                return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 3), Then::Close };
            }
            return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(unsigned(std::stoi(from->second)) + 1, 6) + lastChunk };
        };
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            upstreams[index] = std::make_unique<ScriptedUpstream>(script);
            addUpstream("u" + std::to_string(index), upstreams[index]->address(), "v" + std::to_string(index));
        }
    }

    std::size_t requestsSeen() const
    {
        return upstreams[0]->seen().size() + upstreams[1]->seen().size();
    }

    std::array<std::unique_ptr<ScriptedUpstream>, 2> upstreams;
};

} // namespace

TEST_CASE_FIXTURE(TwoVersionsFixture, "Stream, breaks off beside an upstream of another version only, does not go on there")
{
    const SeenAnswer answer = ask("/resume/a", "id1");
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(requestsSeen() == 1);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Resumed stream, no daemon knows the version that began it, is refused as not run")
{
    const SeenAnswer answer = ask("/resume/a", "id2", "Last-Event-ID: 3\r\nX-Resumes: id1\r\n");
    CHECK(answer.status == 503);
    CHECK(requestsSeen() == 0);
}
