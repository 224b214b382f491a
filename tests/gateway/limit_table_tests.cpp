// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_announcer.h"
#include "portpaddle/upstream_limits/limit_pace.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "portpaddle/upstream_limits/limit_table.h"
#include "portpaddle/upstream_limits/upstream_limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t upstream = 7;
const SteadyTime start{ 1h };

/// A table in which an answer named a limit of two requests per second.
class NamedLimitFixture
{
public:
    NamedLimitFixture()
    {
        table.named(upstream, 2, start);
    }

    KnownLimit reportedLimit(double perSecond, bool ended, SteadyTime answeredAt) const
    {
        return { perSecond, ended, {}, answeredAt, false, "other" };
    }

    LimitTable table;
};

LimitReading read(std::initializer_list<const char *> values)
{
    boost::beast::http::fields head;
    for (const char *value : values) {
        head.insert("X-Upstream-Limit", value);
    }
    return readLimit(head, "X-Upstream-Limit");
}

} // namespace

TEST_CASE("Limit reading, decimal numbers, are read as rates")
{
    CHECK(read({}).kind == LimitKind::Absent);
    CHECK(read({ "2.5" }).perSecond == 2.5);
    CHECK(read({ "40" }).perSecond == 40);
    // An upstream that accepts no requests still needs an occasional one, in whose answer it can raise the limit again.
    CHECK(read({ "0" }).perSecond == minNamedRate);
    CHECK(read({ "1e300" }).perSecond == maxNamedRate);
}

TEST_CASE("Limit reading, malformed rates, are unreadable")
{
    for (const char *text : { "", "-1", "nan", "inf", "-inf", "many", "2 a second", "2,5", "0x10",
                              "1.00000000000000000000000000000000000001", "1e999" }) {
        CAPTURE(text);
        CHECK(read({ text }).kind == LimitKind::Unreadable);
    }
}

TEST_CASE("Limit reading, several values, is the lowest readable one")
{
    CHECK(read({ "5", "2", "9" }).perSecond == 2);
    CHECK(read({ "many", "3" }).perSecond == 3);
    CHECK(read({ "3", "many" }).perSecond == 3);
}

TEST_CASE("Limit reading, random bytes, give a bounded rate or none")
{
    CHECK(rc::check([](const std::string &text) {
        const LimitReading reading = read({ text.c_str() });
        RC_ASSERT(reading.kind != LimitKind::Named || (reading.perSecond >= minNamedRate && reading.perSecond <= maxNamedRate));
    }));
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, answer without a limit to a request sent later, ends")
{
    CHECK(table.answeredWithout(upstream, start + 1ms, start + 1s) == LimitChange::Ended);
    CHECK(table.find(upstream)->ended);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, answer without a limit to a request sent before, remains")
{
    CHECK(table.answeredWithout(upstream, start - 1ms, start + 1s) == LimitChange::None);
    CHECK_FALSE(table.find(upstream)->ended);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, older report of another daemon, remains")
{
    CHECK(table.reported(upstream, reportedLimit(9, false, start - 1s), start + 1s) == LimitChange::None);
    CHECK(table.reported(upstream, reportedLimit(2, true, start - 1s), start + 1s) == LimitChange::None);
    CHECK(table.find(upstream)->perSecond == 2);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, newer report of another daemon, is replaced")
{
    CHECK(table.reported(upstream, reportedLimit(3, false, start + 1s), start + 2s) == LimitChange::Changed);
    CHECK(table.reported(upstream, reportedLimit(3, true, start + 2s), start + 3s) == LimitChange::Ended);
    CHECK(table.reported(upstream, reportedLimit(1, false, start + 3s), start + 4s) == LimitChange::Named);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, same limit reported back with transit delay, keeps its age")
{
    for (int times = 1; times <= 20; ++times) {
        table.reported(upstream, reportedLimit(2, false, table.find(upstream)->answeredAt + 20ms), start + times * 100ms);
    }
    CHECK(table.find(upstream)->answeredAt == start);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, record of the platform, applies only where nothing newer is known")
{
    CHECK(table.stored(upstream, 9, start + 1s) == LimitChange::None);
    CHECK(table.stored(upstream + 1, 9, start + 1s) == LimitChange::Named);
    CHECK(table.reported(upstream + 1, reportedLimit(4, false, start - 10min), start + 2s) == LimitChange::Changed);
    CHECK(table.find(upstream + 1)->perSecond == 4);
    CHECK(table.stored(upstream + 2, 0, start) == LimitChange::None);
    CHECK(table.find(upstream + 2) == nullptr);
}

// The steady clock of a new VM counts from its start, so reports of other daemons may lie before the epoch of that clock.
TEST_CASE("Limit of the platform's record, older report on a VM that has just started, is replaced")
{
    LimitTable table;
    CHECK(table.stored(upstream, 9, SteadyTime{ 2s }) == LimitChange::Named);
    CHECK(table.reported(upstream, { 4, false, {}, SteadyTime{ 3s } - 10min, false, "other" }, SteadyTime{ 3s })
          == LimitChange::Changed);
    CHECK(table.find(upstream)->perSecond == 4);
}

TEST_CASE("Limit of the platform's record, answer without a limit, ends")
{
    LimitTable table;
    table.stored(upstream, 9, start);
    CHECK(table.answeredWithout(upstream, start + 1ms, start + 1s) == LimitChange::Ended);
}

TEST_CASE("Ended limit, reported for an upstream that never named one, changes nothing")
{
    LimitTable table;
    CHECK(table.reported(upstream, { 2, true, {}, start, false, "other" }, start) == LimitChange::None);
    CHECK(table.find(upstream) == nullptr);
}

TEST_CASE("Limit pace, any idle time, does not admit two requests at once")
{
    LimitPace pace(start);
    pace.setRate(2, start);
    CHECK_FALSE(pace.ready());
    pace.setRate(2, start + 10min);
    CHECK(pace.ready());
    pace.take();
    CHECK_FALSE(pace.ready());
    CHECK(pace.wait() <= 250ms);
}

TEST_CASE("Limit pace, share held by other daemons meanwhile, starts without credit")
{
    LimitPace pace(start);
    pace.setRate(2, start);
    pace.setRate(0, start + 1s);
    CHECK(pace.wait() == SteadyTime::duration::max());
    pace.setRate(2, start + 10s);
    CHECK_FALSE(pace.ready());
}

TEST_CASE("Limit announcer, silent for a while, is replaced by the daemon next in rank")
{
    LimitAnnouncer first;
    LimitAnnouncer second;
    first.changed(upstream, start);
    second.receivedSame(upstream, start);
    CHECK(first.due(upstream, { 0, 3 }, start));
    CHECK_FALSE(second.due(upstream, { 1, 3 }, start + 400ms));
    CHECK(second.due(upstream, { 1, 3 }, start + 600ms));
}

TEST_CASE("Limit announcer, any size of the region, sends at most fifty datagrams per second")
{
    for (const std::size_t members : { 3U, 61U, 300U }) {
        CAPTURE(members);
        LimitAnnouncer announcer;
        std::size_t datagrams = 0;
        for (auto time = 0ms; time < 60s; time += 100ms) {
            datagrams += announcer.due(upstream, { 0, members }, start + time) ? members - 1 : 0;
        }
        CHECK(datagrams <= 50 * 60 + members);
    }
}

TEST_CASE("Holders of a limit, any rate and fleet size, have shares of at least one per second, or there is only one")
{
    CHECK(holdersOf(0.1, 300) == 1);
    CHECK(holdersOf(2.5, 300) == 2);
    CHECK(holdersOf(40, 8) == 8);
    CHECK(holdersOf(1e6, 0) == 1);
}

TEST_CASE("Record of a limit, written and read back, is unchanged")
{
    const LeasedRecord record = limitRecord({ 0xabcdef, 2.5 });
    const std::optional<StoredLimit> limit = readLimitRecord(record.key, record.text);
    REQUIRE(limit);
    CHECK(limit->upstream == 0xabcdef);
    CHECK(limit->perSecond == 2.5);
}

TEST_CASE("Record of a limit, malformed, is rejected")
{
    const std::string key = limitRecord({ 1, 1 }).key;
    for (const char *text : { "", "{}", "[]", "2", "{\"perSecond\":\"2\"}", "{\"perSecond\":null}", "{\"perSecond\":1e400}" }) {
        CAPTURE(text);
        CHECK_FALSE(readLimitRecord(key, text));
    }
    CHECK_FALSE(readLimitRecord(key + "x", limitRecord({ 1, 1 }).text));
    CHECK_FALSE(upstreamOfLimitKey("portpaddle/daemons/1"));
}
