// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon that has lost contact with the store must say so at once when a peer asks for changes. If it holds the request for a
// second first, a daemon that tries six such peers in turn applies a new configuration seconds late, and refuses requests for a
// route up to 5.2 s after the configuration with that route came into force.

#include "portpaddle/fleet/feed_server.h"

#include "portpaddle/net/spawn.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// A daemon that knows revision 5 of the store and is asked for newer changes.
class FeedServerFixture
{
public:
    FeedServerFixture()
    {
        feed.restart(5, BootClock::now());
        feed.setReachable(true);
    }

    /// Returns whether the server answers before any change or timeout.
    bool answersAtOnce()
    {
        spawnTask(loop.get_executor(), "question", [this]() -> Task<void> {
            co_await server.answer(fmt::format("{}?after=5", changesPath));
            answered = true;
        });
        loop.poll();
        return answered;
    }

    boost::asio::io_context loop{ 1 };
    ChangeFeed feed{ [] {} };
    FeedServer server{ loop.get_executor(), "d", feed, [] { return StoreState{}; } };
    bool answered = false;
};

} // namespace

TEST_CASE_FIXTURE(FeedServerFixture, "Request for changes, store reachable, waits for a change")
{
    CHECK_FALSE(answersAtOnce());
    feed.add({ { { "k", "v", 6 }, false } }, 6, BootClock::now());
    server.wake();
    loop.poll();
    CHECK(answered);
}

TEST_CASE_FIXTURE(FeedServerFixture, "Request for changes, contact with the store lost, is answered at once")
{
    const Suspension later(3s);
    CHECK(answersAtOnce());
}

TEST_CASE("Request for items with a prefix, is answered with these and no others")
{
    boost::asio::io_context loop{ 1 };
    const ChangeFeed feed{ [] {} };
    const StoreState known{ { { "op/config", "8", 6 }, { "servers/u", "", 5 } }, 6, {} };
    FeedServer server{ loop.get_executor(), "d", feed, [&known] { return known; } };
    const std::string target = std::string(itemsPath) + "op/config";
    REQUIRE(server.handles(target));
    std::string body;
    spawnTask(loop.get_executor(), "question", [&]() -> Task<void> { body = (co_await server.answer(target)).body; });
    loop.poll();
    const Result<FeedUpdate> items = decodeChanges(body, BootClock::now());
    REQUIRE(isOk(items));
    REQUIRE(valueOf(items).changes.size() == 1);
    CHECK(valueOf(items).changes.front().item.value == "8");
}
