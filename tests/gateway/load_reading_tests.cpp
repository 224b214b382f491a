// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against figures of upstreams that are taken as they come: malformed, absurd or contradictory ones must not reach a
// choice.

#include "portpaddle/upstream_notices/answer_notice.h"
#include "portpaddle/upstream_reports/load_reading.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Portpaddle;

namespace {

const std::string header = "X-Upstream-Load";

LoadReading read(const std::vector<std::string> &values)
{
    boost::beast::http::fields head;
    for (const std::string &value : values) {
        head.insert(header, value);
    }
    return readReportedLoad(head, header);
}

bool isUnreadable(const std::vector<std::string> &values)
{
    return read(values).kind == LoadReadingKind::Unreadable;
}

} // namespace

TEST_CASE("Load reading, three or four figures, are read")
{
    CHECK(read({}).kind == LoadReadingKind::Absent);
    CHECK(read({ "3,1,8" }).kind == LoadReadingKind::Reported);
    CHECK(read({ "3,1,8" }).load == ReportedLoad{ 3, 1, 8, usualPacePercent });
    CHECK(read({ "0,0,1,250" }).load == ReportedLoad{ 0, 0, 1, 250 });
    CHECK(read({ "12,0,8,1" }).load == ReportedLoad{ 12, 0, 8, 1 });
    CHECK(read({ "1000000,1000000,1000000,10000" }).load == ReportedLoad{ 1'000'000, 1'000'000, 1'000'000, 10'000 });
}

// Guards against a reader that takes the figures that it understands and fills in the others.
TEST_CASE("Load reading, malformed figures, are unreadable")
{
    for (const char *text :
         { "",         ",",          "3",       "3,1",     "3,1,",      "3,1,8,",  ",3,1,8",     "3,,8",    "3,1,8,100,",
           "-3,1,8",   "3,1,-8",     "+3,1,8",  "3.5,1,8", "3,1,8,1e2", "3, 1, 8", "3;1;8",      "0x3,1,8", "three,1,8",
           "3,1,8,1%", "3,1,8,99,5", "nan,0,8", "inf,0,8", "3,1,8 9",   "3 ,1,8",  "3,1,8,100,x" }) {
        CAPTURE(text);
        CHECK(isUnreadable({ text }));
    }
    CHECK(isUnreadable({ std::string("3,1,8\0", 6) }));
}

// Guards against divisions by zero slots and against overflow in sums over upstreams.
TEST_CASE("Load reading, figures out of range, are unreadable")
{
    for (const char *text : { "1000001,0,8", "0,1000001,8", "0,0,0", "0,0,1000001", "0,0,8,0", "0,0,8,10001", "4294967296,0,8",
                              "0,0,99999999999999999999999999999999999", "0,0,8,18446744073709551616" }) {
        CAPTURE(text);
        CHECK(isUnreadable({ text }));
    }
    CHECK(isUnreadable({ std::string(1'000, '0') + "3,1,8" }));
}

// Guards against a choice between two contradictory reports, one of which an intermediary may have added.
TEST_CASE("Load reading, header that occurs several times, is read only if all agree")
{
    CHECK(read({ "3,1,8", "3,1,8,100" }).load == ReportedLoad{ 3, 1, 8, 100 });
    CHECK(isUnreadable({ "3,1,8", "4,1,8" }));
    CHECK(isUnreadable({ "3,1,8", "many" }));
    CHECK(isUnreadable({ "many", "3,1,8" }));
    CHECK(isUnreadable({ "3,1,8, 3,1,8" }));
}

TEST_CASE("Load reading, random bytes, give a load within the bounds or none")
{
    CHECK(rc::check([](const std::vector<std::string> &values) {
        const LoadReading reading = read(values);
        RC_ASSERT((reading.kind == LoadReadingKind::Absent) == values.empty());
        RC_ASSERT(reading.kind != LoadReadingKind::Reported || isPlausible(reading.load));
    }));
}

// Random bytes are seldom figures at all, so that this one begins with figures.
TEST_CASE("Load reading, random figures, are read exactly where all are within the bounds")
{
    CHECK(rc::check([] {
        const auto figure = rc::gen::weightedOneOf<std::uint32_t>({ { 6, rc::gen::inRange<std::uint32_t>(0, 1'000'002) },
                                                                    { 2, rc::gen::inRange<std::uint32_t>(0, 3) },
                                                                    { 1, rc::gen::arbitrary<std::uint32_t>() } });
        const auto pace = rc::gen::inRange<std::uint32_t>(0, 10'003);
        const ReportedLoad load{ *figure, *figure, *figure, *pace };
        const LoadReading reading
            = read({ fmt::format("{},{},{},{}", load.running, load.waiting, load.slots, load.pacePercent) });
        RC_ASSERT((reading.kind == LoadReadingKind::Reported) == isPlausible(load));
        RC_ASSERT(!isPlausible(load) || reading.load == load);
    }));
}

// Guards against a report that is lost with a refusal, which an overloaded upstream gives most of the time.
TEST_CASE("Answer notice, refusal with a reported load, has the load")
{
    boost::beast::http::response_header<> head;
    head.result(boost::beast::http::status::service_unavailable);
    head.set("X-Not-Run", "1");
    head.set(header, "8,5,8,130");
    const AnswerNotice notice = readNotice(head, HeaderNames{}, {});
    CHECK_FALSE(notice.fromUpstream);
    CHECK(notice.load.load == ReportedLoad{ 8, 5, 8, 130 });
}
