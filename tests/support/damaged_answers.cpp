// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/damaged_answers.h"

#include "portpaddle/net/spawn.h"
#include "portpaddle/upstream/http_upstream_client.h"
#include "support/plain_orders.h"

namespace Portpaddle {

namespace {

// A hang becomes a failure.
constexpr Millis hangBound{ 20'000 };

std::string soundAnswer(const SeenRequest &request)
{
    const bool isStream = request.requestLine.starts_with("POST /resume");
    return isStream ? streamHead(idOf(request)) + eventChunk(1, 2) + lastChunk : wholeAnswer(idOf(request), "own");
}

} // namespace

DamagedAnswerSite::DamagedAnswerSite()
{
    addUpstream("u1", one.address());
    addUpstream("u2", other.address());
}

std::size_t DamagedAnswerSite::seen() const
{
    return one.seen().size() + other.seen().size();
}

ScriptedAnswer DamagedAnswerSite::answer(const SeenRequest &request)
{
    const bool damages = !bytes.empty() && !(onlyFirst && asked_++ > 0);
    return damages ? ScriptedAnswer{ bytes, ScriptedAnswer::Then::Close } : ScriptedAnswer{ soundAnswer(request) };
}

ScriptedUpstream peerThatSends(const std::string &bytes)
{
    return ScriptedUpstream([bytes](const SeenRequest &) { return ScriptedAnswer{ bytes, ScriptedAnswer::Then::Close }; });
}

MemoryMove orderAnsweredBy(const std::string &bytes)
{
    const ScriptedUpstream upstream = peerThatSends(bytes);
    boost::asio::io_context loop{ 1 };
    ConnectionPool pool{ loop.get_executor() };
    UpstreamRecord source;
    source.id = "u1";
    source.address = upstream.address();
    const PlainOrders orders;
    MemoryMove moved;
    spawnTask(loop.get_executor(), "order", [&]() -> Task<void> {
        moved = co_await sendMoveOrder(pool, orders, orders.copy("id1", "10.0.0.1:80"), source, std::chrono::hours(1),
                                       [](const UpstreamRecord &, const boost::beast::http::response_header<> &) {});
    });
    loop.run();
    return moved;
}

AttemptResult askOnSettings(const std::string &bytes, AnswerSink &sink)
{
    const ScriptedUpstream upstream = peerThatSends(bytes);
    HttpUpstreamClient client;
    Call call;
    call.path = "/v1/run";
    return client.attempt(upstream.address(), call, hangBound, sink);
}

} // namespace Portpaddle
