// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Notices of upstreams in their answers (leaving, Retry-After): how a daemon parses and keeps them.

#include "portpaddle/base/metrics.h"
#include "portpaddle/upstream_notices/upstream_notices.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

class UpstreamNoticesFixture
{
public:
    void announceLeaving(const std::string &upstream)
    {
        AnswerNotice notice;
        notice.leaving = LeavingNotice::Leaving;
        notices.answered(upstream, notice, now);
    }

    void requestBackoff(const std::string &upstream, std::chrono::milliseconds time)
    {
        AnswerNotice notice;
        notice.backoff = { RetryAfterKind::Named, time };
        notices.answered(upstream, notice, now);
    }

    ExclusionReason exclusionReason(const std::string &upstream) const
    {
        return notices.exclusionReason(upstream, now);
    }

    void list(const std::vector<std::string> &upstreams)
    {
        FleetView view;
        for (const std::string &id : upstreams) {
            view.upstreams[id].id = id;
        }
        notices.setView(view, now);
    }

    Metrics metrics;
    UpstreamNotices notices{ metrics };
    SteadyTime now{ 1h };
};

RetryAfter read(const std::string &value, std::chrono::system_clock::time_point wall = {})
{
    boost::beast::http::fields head;
    head.insert(boost::beast::http::field::retry_after, value);
    return readRetryAfter(head, wall);
}

} // namespace

TEST_CASE_FIXTURE(UpstreamNoticesFixture, "Notices, incarnation that has ended, exclude it for every request")
{
    notices.incarnationEnded("e", now);
    CHECK(exclusionReason("e") == ExclusionReason::Leaving);
    announceLeaving("e");
    CHECK(notices.exclusionForMovedRun("e", now) == ExclusionReason::Leaving);
}

TEST_CASE_FIXTURE(UpstreamNoticesFixture, "Notices, moved run whose memory lies at a leaving upstream, may continue there")
{
    announceLeaving("e");
    CHECK(exclusionReason("e") == ExclusionReason::Leaving);
    CHECK(notices.exclusionForMovedRun("e", now) == ExclusionReason::None);
    requestBackoff("e", 1s);
    CHECK(notices.exclusionForMovedRun("e", now) == ExclusionReason::BackingOff);
}

TEST_CASE_FIXTURE(UpstreamNoticesFixture, "Notices, shorter backoff after a longer one, ends with the longer one")
{
    requestBackoff("e", 3s);
    now += 1s;
    requestBackoff("e", 500ms);
    requestBackoff("e", 0ms);
    now += 1900ms;
    CHECK(exclusionReason("e") == ExclusionReason::BackingOff);
    now += 100ms;
    CHECK(exclusionReason("e") == ExclusionReason::None);
}

TEST_CASE_FIXTURE(UpstreamNoticesFixture, "Notices, several upstreams backing off, give the earliest end of a backoff")
{
    const std::vector<std::string> ids{ "a", "b", "c" };
    requestBackoff("a", 3s);
    requestBackoff("b", 2s);
    announceLeaving("b");
    requestBackoff("c", 5s);
    const std::vector<const std::string *> candidates{ &ids[0], &ids[1], &ids[2] };
    CHECK(notices.earliestBackoffEnd(candidates, now) == 3s);
}

TEST_CASE_FIXTURE(UpstreamNoticesFixture,
                  "Notices, more unlisted incarnations than the maximum, forget those unlisted for longest")
{
    announceLeaving("listed");
    for (std::size_t index = 0; index < maxUnlistedIncarnations + 500; ++index) {
        announceLeaving("e" + std::to_string(index));
        now += 1ms;
    }
    list({ "listed" });
    CHECK(notices.incarnationCount() == maxUnlistedIncarnations + 1);
    CHECK(exclusionReason("listed") == ExclusionReason::Leaving);
    CHECK(exclusionReason("e0") == ExclusionReason::None);
    CHECK(exclusionReason("e" + std::to_string(maxUnlistedIncarnations + 499)) == ExclusionReason::Leaving);
}

TEST_CASE_FIXTURE(UpstreamNoticesFixture, "Notices, backoff of an unlisted incarnation has ended, are forgotten")
{
    requestBackoff("e", 1s);
    list({});
    CHECK(notices.incarnationCount() == 1);
    now += 2s;
    list({});
    CHECK(notices.incarnationCount() == 0);
}

TEST_CASE("Retry-After, each form that HTTP allows, is parsed")
{
    const auto wall = std::chrono::system_clock::from_time_t(784'111'777);
    CHECK(read("3").time == 3s);
    CHECK(read("0.25").time == 250ms);
    CHECK(read("0").time == 0ms);
    CHECK(read("3600").time == 1h);
    CHECK(read("999999999999999999999999").time == longestRetryAfter);
    CHECK(read("Sun, 06 Nov 1994 08:49:40 GMT", wall).time == 3s);
    CHECK(read("Sunday, 06-Nov-94 08:49:40 GMT", wall).time == 3s);
    CHECK(read("Sun Nov  6 08:49:40 1994", wall).time == 3s);
    CHECK(read("Sun, 06 Nov 1994 08:49:30 GMT", wall).time == 0s);
}

TEST_CASE("Retry-After, malformed time, is unreadable")
{
    for (const char *value : { "", "-1", "-0.5", "nan", "inf", "-inf", "soon", "3 s", "0x3", "1e3", "--1", "Sun, 06 Nov 1994" }) {
        CAPTURE(value);
        CHECK(read(value).kind == RetryAfterKind::Unreadable);
    }
    CHECK(readRetryAfter({}, {}).kind == RetryAfterKind::Absent);
}

TEST_CASE("Retry-After, any bytes, give a time within bounds or none")
{
    CHECK(rc::check([](const std::string &value) {
        const RetryAfter after = read(value);
        RC_ASSERT(after.time >= 0ms);
        RC_ASSERT(after.time <= longestRetryAfter);
    }));
}
