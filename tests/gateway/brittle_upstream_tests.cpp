// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Upstreams that fall over when they reject more than a number of requests in a second.

#include "portpaddle/upstream_limits/rejection_budget.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned rejectionsBorne = 10;
constexpr LimitReading brittle{ LimitKind::Named, rejectionsBorne };

/// Daemons that always have more requests for one upstream than it has room for, in virtual time.
class PressedUpstream
{
public:
    explicit PressedUpstream(std::size_t daemons) : budgets_(daemons), running_(daemons)
    {
        for (RejectionBudget &budget : budgets_) {
            budget.setDaemons(static_cast<unsigned>(daemons));
        }
    }

    /// Lets each daemon send all that its budget allows every 10 ms; answers come after 100 ms, rejections at once.
    void run(std::chrono::milliseconds time, unsigned room)
    {
        for (const SteadyTime end = now_ + time; now_ < end; now_ += 10ms) {
            finish();
            for (std::size_t daemon = 0; daemon < budgets_.size(); ++daemon) {
                sendAll(daemon, room);
            }
            while (!rejections_.empty() && now_ - rejections_.front() >= 1s) {
                rejections_.pop_front();
            }
            worst_ = std::max(worst_, rejections_.size());
        }
    }

    std::size_t worstSecond() const
    {
        return worst_;
    }

    unsigned served() const
    {
        return served_;
    }

private:
    struct Run
    {
        std::size_t daemon;
        SteadyTime until;
    };

    void finish()
    {
        while (!runs_.empty() && runs_.front().until <= now_) {
            const std::size_t daemon = runs_.front().daemon;
            budgets_[daemon].answered("u", brittle, false, running_[daemon], now_);
            --running_[daemon];
            ++served_;
            runs_.pop_front();
        }
    }

    void sendAll(std::size_t daemon, unsigned room)
    {
        constexpr unsigned most = 50;
        for (unsigned tries = 0; tries < most && budgets_[daemon].allows("u", running_[daemon], now_); ++tries) {
            budgets_[daemon].sent("u", running_[daemon], now_);
            if (runs_.size() < room) {
                ++running_[daemon];
                runs_.push_back({ daemon, now_ + 100ms });
            } else {
                rejections_.push_back(now_);
                budgets_[daemon].answered("u", brittle, true, running_[daemon] + 1, now_);
            }
        }
    }

    SteadyTime now_ = BootClock::now();
    std::vector<RejectionBudget> budgets_;
    std::vector<unsigned> running_;
    std::deque<Run> runs_;
    std::deque<SteadyTime> rejections_;
    std::size_t worst_ = 0;
    unsigned served_ = 0;
};

} // namespace

TEST_CASE("Brittle upstream, pressed by several daemons while its room shrinks, rejects no more than it bears and is kept busy")
{
    for (const std::size_t daemons : { 1U, 4U, 8U }) {
        PressedUpstream upstream(daemons);
        // The upstreams say that they are brittle some seconds before they have less room.
        upstream.run(5s, 40);
        const unsigned before = upstream.served();
        upstream.run(20s, 16);
        CHECK(upstream.worstSecond() <= rejectionsBorne);
        // Sixteen places, 100 ms a request: 3,200 in 20 s.
        CHECK(upstream.served() - before > 1'600);
    }
}

TEST_CASE("Rejection budget, upstream that is brittle no longer, is not held back")
{
    RejectionBudget budget;
    const SteadyTime now = BootClock::now();
    budget.answered("u", { LimitKind::Named, 1 }, true, 1, now);
    CHECK_FALSE(budget.allows("u", 0, now));
    budget.answered("u", {}, false, 1, now);
    CHECK(budget.allows("u", 0, now));
    CHECK(budget.size() == 0);
}

TEST_CASE_FIXTURE(GatewaySite, "Request, brittle upstream without room, is not sent while the rejections it bears are spent")
{
    for (Route &route : routes.routes) {
        // No request waits long for room.
        route.targetLatency = Millis(20);
    }
    publishRoutes();
    ScriptedUpstream full([](const SeenRequest &) {
        return ScriptedAnswer{ "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Upstream-Brittle: 0.1\r\nContent-Length: 0\r\n\r\n" };
    });
    addUpstream("u1", full.address());
    onLoop([](Gateway &gateway) { gateway.tick(); });
    for (int index = 0; index < 40; ++index) {
        CHECK(ask("/single/a", "id" + std::to_string(index), {}, "body").status == 503);
    }
    // A second rejection is borne ten seconds after the first.
    CHECK(full.seen().size() == 1);
}
