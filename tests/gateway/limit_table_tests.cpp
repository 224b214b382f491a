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

/// A book in which an answer named two requests a second.
class NamedLimitFixture
{
public:
    NamedLimitFixture()
    {
        book.named(upstream, 2, start);
    }

    KnownLimit told(double perSecond, bool ended, SteadyTime answeredAt) const
    {
        return { perSecond, ended, {}, answeredAt, false, "other" };
    }

    LimitTable book;
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

TEST_CASE("Limit reading, decimal numbers, are rates")
{
    CHECK(read({}).kind == LimitKind::Absent);
    CHECK(read({ "2.5" }).perSecond == 2.5);
    CHECK(read({ "40" }).perSecond == 40);
    // One that takes nothing must be able to say that it takes something again.
    CHECK(read({ "0" }).perSecond == minNamedRate);
    CHECK(read({ "1e300" }).perSecond == maxNamedRate);
}

TEST_CASE("Limit reading, texts that are no rate, are unreadable")
{
    for (const char *text : { "", "-1", "nan", "inf", "-inf", "many", "2 a second", "2,5", "0x10",
                              "1.00000000000000000000000000000000000001", "1e999" }) {
        CAPTURE(text);
        CHECK(read({ text }).kind == LimitKind::Unreadable);
    }
}

TEST_CASE("Limit reading, several values, is the lowest that can be read")
{
    CHECK(read({ "5", "2", "9" }).perSecond == 2);
    CHECK(read({ "many", "3" }).perSecond == 3);
    CHECK(read({ "3", "many" }).perSecond == 3);
}

TEST_CASE("Limit reading, random bytes, is a bounded rate or none")
{
    rc::check([](const std::string &text) {
        const LimitReading reading = read({ text.c_str() });
        RC_ASSERT(reading.kind != LimitKind::Named || (reading.perSecond >= minNamedRate && reading.perSecond <= maxNamedRate));
    });
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, answer without one to a request sent later, has ended")
{
    CHECK(book.answeredWithout(upstream, start + 1ms, start + 1s) == LimitChange::Ended);
    CHECK(book.find(upstream)->ended);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, answer without one to a request sent before, stands")
{
    CHECK(book.answeredWithout(upstream, start - 1ms, start + 1s) == LimitChange::None);
    CHECK_FALSE(book.find(upstream)->ended);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, news that are older, stands")
{
    CHECK(book.reported(upstream, told(9, false, start - 1s), start + 1s) == LimitChange::None);
    CHECK(book.reported(upstream, told(2, true, start - 1s), start + 1s) == LimitChange::None);
    CHECK(book.find(upstream)->perSecond == 2);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, news that are newer, are taken")
{
    CHECK(book.reported(upstream, told(3, false, start + 1s), start + 2s) == LimitChange::Changed);
    CHECK(book.reported(upstream, told(3, true, start + 2s), start + 3s) == LimitChange::Ended);
    CHECK(book.reported(upstream, told(1, false, start + 3s), start + 4s) == LimitChange::Named);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, the same told back with the time of travel, grows no younger")
{
    for (int times = 1; times <= 20; ++times) {
        book.reported(upstream, told(2, false, book.find(upstream)->answeredAt + 20ms), start + times * 100ms);
    }
    CHECK(book.find(upstream)->answeredAt == start);
}

TEST_CASE_FIXTURE(NamedLimitFixture, "Named limit, record of the platform, counts only where nothing newer is known")
{
    CHECK(book.stored(upstream, 9, start + 1s) == LimitChange::None);
    CHECK(book.stored(upstream + 1, 9, start + 1s) == LimitChange::Named);
    CHECK(book.reported(upstream + 1, told(4, false, start - 10min), start + 2s) == LimitChange::Changed);
    CHECK(book.find(upstream + 1)->perSecond == 4);
    CHECK(book.stored(upstream + 2, 0, start) == LimitChange::None);
    CHECK(book.find(upstream + 2) == nullptr);
}

// A VM that has just been made has a clock that counts from its start: what others say may be older than that.
TEST_CASE("Limit of the platform's record, older news on a VM that has just started, gives way")
{
    LimitTable book;
    CHECK(book.stored(upstream, 9, SteadyTime{ 2s }) == LimitChange::Named);
    CHECK(book.reported(upstream, { 4, false, {}, SteadyTime{ 3s } - 10min, false, "other" }, SteadyTime{ 3s })
          == LimitChange::Changed);
    CHECK(book.find(upstream)->perSecond == 4);
}

TEST_CASE("Limit of the platform's record, answer without one, has ended")
{
    LimitTable book;
    book.stored(upstream, 9, start);
    CHECK(book.answeredWithout(upstream, start + 1ms, start + 1s) == LimitChange::Ended);
}

TEST_CASE("Ended limit, told of an upstream that never named one, is nothing new")
{
    LimitTable book;
    CHECK(book.reported(upstream, { 2, true, {}, start, false, "other" }, start) == LimitChange::None);
    CHECK(book.find(upstream) == nullptr);
}

TEST_CASE("Limit pace, any length of idleness, lets no two requests go at once")
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

TEST_CASE("Limit pace, share that went to others meanwhile, begins with nothing")
{
    LimitPace pace(start);
    pace.setRate(2, start);
    pace.setRate(0, start + 1s);
    CHECK(pace.wait() == SteadyTime::duration::max());
    pace.setRate(2, start + 10s);
    CHECK_FALSE(pace.ready());
}

TEST_CASE("Limit announcer, daemons that fall silent, is followed by the next in rank")
{
    LimitAnnouncer first;
    LimitAnnouncer second;
    first.changed(upstream, start);
    second.receivedSame(upstream, start);
    CHECK(first.due(upstream, { 0, 3 }, start));
    CHECK_FALSE(second.due(upstream, { 1, 3 }, start + 400ms));
    CHECK(second.due(upstream, { 1, 3 }, start + 600ms));
}

TEST_CASE("Limit announcer, any size of the region, sends no more than fifty datagrams a second")
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

TEST_CASE("Holders of a limit, any rate and fleet, have shares of one a second or there is one")
{
    CHECK(holdersOf(0.1, 300) == 1);
    CHECK(holdersOf(2.5, 300) == 2);
    CHECK(holdersOf(40, 8) == 8);
    CHECK(holdersOf(1e6, 0) == 1);
}

TEST_CASE("Record of a limit, written and read, is the same")
{
    const LeasedRecord record = limitRecord({ 0xabcdef, 2.5 });
    const std::optional<StoredLimit> limit = readLimitRecord(record.key, record.text);
    REQUIRE(limit);
    CHECK(limit->upstream == 0xabcdef);
    CHECK(limit->perSecond == 2.5);
}

TEST_CASE("Record of a limit, damaged, is none")
{
    const std::string key = limitRecord({ 1, 1 }).key;
    for (const char *text : { "", "{}", "[]", "2", "{\"perSecond\":\"2\"}", "{\"perSecond\":null}", "{\"perSecond\":1e400}" }) {
        CAPTURE(text);
        CHECK_FALSE(readLimitRecord(key, text));
    }
    CHECK_FALSE(readLimitRecord(key + "x", limitRecord({ 1, 1 }).text));
    CHECK_FALSE(upstreamOfLimitKey("portpaddle/daemons/1"));
}
