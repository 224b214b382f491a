// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What callers saw: a daemon of a region whose VMs had lost the store refused a route 5.2 s after the configuration that has it
// was in force. It followed others, asked six of them in turn, and each that had no contact with the store kept it waiting for a
// second before it said so. Evidence: its lines on the same day show sources left one a second, each for having no contact with
// the store, and configurations in force 3 s after their acknowledgement.

#include "portpaddle/fleet/feed_server.h"

#include "portpaddle/net/spawn.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// A daemon that knows revision 5 of the store, and is asked for what is newer.
class FeedServerFixture
{
public:
    FeedServerFixture()
    {
        feed.restart(5, BootClock::now());
        feed.setReachable(true);
    }

    /// Whether it answers before anything happens.
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
    FeedServer server{ loop.get_executor(), "d", feed, [] { return std::vector<KeyValue>{}; } };
    bool answered = false;
};

} // namespace

TEST_CASE_FIXTURE(FeedServerFixture, "Question about changes, contact with the store, waits for one")
{
    CHECK_FALSE(answersAtOnce());
    feed.add({ { { "k", "v", 6 }, false } }, 6, BootClock::now());
    server.wake();
    loop.poll();
    CHECK(answered);
}

TEST_CASE_FIXTURE(FeedServerFixture, "Question about changes, contact with the store lost, is answered at once")
{
    const Suspension later(3s);
    CHECK(answersAtOnce());
}
