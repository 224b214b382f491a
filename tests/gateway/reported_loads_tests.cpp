// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The newest reported load of each upstream, and the digests that pass reports on.

#include "portpaddle/base/metrics.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/placement/upstream_shares.h"
#include "portpaddle/upstream_reports/report_digest.h"
#include "portpaddle/upstream_reports/reported_loads.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <set>
#include <string>

#include <unistd.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };

LoadReading reading(std::uint32_t running)
{
    return { LoadReadingKind::Reported, { running, 0, 8, 100 } };
}

/// Collects what the process writes to standard output during the lifetime of the object.
class OutputCapture
{
public:
    OutputCapture() : file_(std::tmpfile()), output_(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        dup2(fileno(file_), STDOUT_FILENO);
    }

    ~OutputCapture()
    {
        restore();
        std::fclose(file_);
    }

    OutputCapture(const OutputCapture &) = delete;
    OutputCapture &operator=(const OutputCapture &) = delete;

    /// Ends the capture and returns the number of lines with @p text.
    std::size_t linesWith(const std::string &text)
    {
        restore();
        std::rewind(file_);
        std::size_t lines = 0;
        char line[4096];
        while (std::fgets(line, sizeof line, file_) != nullptr) {
            lines += std::string(line).find(text) != std::string::npos ? 1 : 0;
        }
        return lines;
    }

private:
    void restore()
    {
        if (output_ >= 0) {
            std::fflush(stdout);
            dup2(output_, STDOUT_FILENO);
            close(output_);
            output_ = -1;
        }
    }

    std::FILE *file_;
    int output_;
};

/// The reported loads of a daemon in region north, whose view has the upstreams u0 to u2 of north and one of south.
class ReportedLoadsFixture
{
public:
    ReportedLoadsFixture()
    {
        for (const char *id : { "u0", "u1", "u2" }) {
            add(id, "north");
        }
        add("far", "south");
    }

    void add(const std::string &id, const std::string &region)
    {
        const FleetView earlier = view;
        UpstreamRecord record;
        record.id = id;
        record.region = region;
        view.upstreams[id] = record;
        loads.setView(view, earlier);
    }

    void remove(const std::string &id)
    {
        const FleetView earlier = view;
        view.upstreams.erase(id);
        loads.setView(view, earlier);
    }

    /// Returns a digest of another daemon with one report of u0.
    static Wire::LoadDigestT digest(std::uint64_t sequence, std::uint32_t running, std::uint16_t ageMs,
                                    const std::string &daemon = "other")
    {
        Wire::LoadDigestT result;
        result.daemon = daemon;
        result.region = "north";
        result.kind = Wire::DigestKind::Sum;
        result.sequence = sequence;
        result.upstream_reports.emplace_back(upstreamKey("u0"), running, 0, 8, 100, ageMs);
        return result;
    }

    /// Returns the reported number of running requests of u0; -1 if none is known.
    double running(SteadyTime now) const
    {
        const std::optional<LoadReportView> latest = loads.latest("u0", now);
        return latest ? latest->running : -1;
    }

    Metrics metrics;
    FleetView view;
    ReportedLoads loads{ "north", metrics };
};

} // namespace

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, answer, is known with its age and pace until it is a second old")
{
    loads.answered("u0", { LoadReadingKind::Reported, { 7, 3, 8, 150 } }, start);
    const std::optional<LoadReportView> latest = loads.latest("u0", start + 200ms);
    REQUIRE(latest);
    CHECK(latest->running == 7);
    CHECK(latest->waiting == 3);
    CHECK(latest->slots == 8);
    CHECK(latest->pace == 1.5);
    CHECK(latest->ageMs == 200);
    CHECK_FALSE(loads.latest("u1", start));
    CHECK(loads.latest("u0", start + 1s));
    CHECK_FALSE(loads.latest("u0", start + 1001ms));
    CHECK(metrics.value(Counter::LoadReportsReceived) == 1);
}

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, answer without a report or with an unreadable one, remains")
{
    loads.answered("u0", reading(7), start);
    loads.answered("u0", {}, start + 10ms);
    loads.answered("u0", { LoadReadingKind::Unreadable, {} }, start + 20ms);
    CHECK(running(start + 20ms) == 7);
    loads.answered("u0", reading(2), start + 30ms);
    CHECK(running(start + 30ms) == 2);
}

// Guards against a log that an upstream with a fault fills with a line for each answer.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, unreadable in each of many answers, is logged once a second")
{
    OutputCapture output;
    for (int count = 0; count < 250; ++count) {
        loads.answered("u0", { LoadReadingKind::Unreadable, {} }, start + count * 10ms);
        loads.tick(start + count * 10ms);
    }
    loads.answered("u1", { LoadReadingKind::Unreadable, {} }, start);
    CHECK(output.linesWith("upstream_load_unreadable") == 4);
    CHECK(metrics.value(Counter::LoadReportsUnreadable) == 251);
    CHECK_FALSE(loads.latest("u0", start + 2490ms));
}

// Guards against a report of another daemon that replaces what the upstream itself has said since.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, digests of other daemons, newest report wins")
{
    loads.answered("u0", reading(7), start);
    loads.takeNews(digest(1, 3, 100), start + 50ms);
    CHECK(running(start + 50ms) == 7);
    loads.takeNews(digest(2, 4, 20), start + 100ms);
    CHECK(running(start + 100ms) == 4);
    CHECK(loads.latest("u0", start + 100ms)->ageMs == 20);
    loads.takeNews(digest(1, 5, 90, "third"), start + 120ms);
    CHECK(running(start + 120ms) == 4);
    CHECK(metrics.value(Counter::LoadReportsFromDaemons) == 1);
}

// Guards against a datagram that was overtaken by a later one of the same daemon: by its arrival it seems to be the newer one.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, digests that arrive out of order, later one of the sender wins")
{
    loads.takeNews(digest(6, 9, 0), start);
    loads.takeNews(digest(5, 2, 0), start + 80ms);
    CHECK(running(start + 80ms) == 9);
    loads.takeNews(digest(7, 4, 0), start + 100ms);
    CHECK(running(start + 100ms) == 4);
}

// Guards against ages that no report can have: the daemon that sends them drops reports after a second.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, digest with an impossible age or figures, is ignored")
{
    loads.takeNews(digest(1, 3, 1'001), start);
    loads.takeNews(digest(2, 3, 65'535), start);
    loads.takeNews(digest(3, 1'000'001, 10), start);
    Wire::LoadDigestT noSlots = digest(4, 3, 10);
    noSlots.upstream_reports = { { upstreamKey("u0"), 3, 0, 0, 100, 10 } };
    loads.takeNews(noSlots, start);
    Wire::LoadDigestT noPace = digest(5, 3, 10);
    noPace.upstream_reports = { { upstreamKey("u0"), 3, 0, 8, 0, 10 } };
    loads.takeNews(noPace, start);
    CHECK_FALSE(loads.latest("u0", start));
    loads.takeNews(digest(6, 3, 1'000), start);
    CHECK(running(start) == 3);
    CHECK_FALSE(loads.latest("u0", start + 1ms));
}

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, digest of another region, is ignored")
{
    Wire::LoadDigestT digestOfSouth = digest(1, 3, 10);
    digestOfSouth.region = "south";
    loads.takeNews(digestOfSouth, start);
    CHECK_FALSE(loads.latest("u0", start));
}

// Guards against a report that becomes newer each time an aggregator sends it back, so that requests sent since do not count.
TEST_CASE_FIXTURE(ReportedLoadsFixture,
                  "Reported load, own report sent back with transit delay, keeps its age and counts all requests")
{
    loads.answered("u0", reading(7), start);
    for (int count = 0; count < 3; ++count) {
        loads.sent("u0", start + 1ms);
    }
    for (std::uint64_t times = 1; times <= 5; ++times) {
        const auto sinceStart = times * 100ms;
        loads.takeNews(digest(times, 7, static_cast<std::uint16_t>(sinceStart.count() - 8)), start + sinceStart);
    }
    const std::optional<LoadReportView> latest = loads.latest("u0", start + 500ms);
    REQUIRE(latest);
    CHECK(latest->ageMs == 500);
    CHECK(latest->sentSince == 3);
}

// Guards against requests that are counted twice, in the report and as sent since, or not at all.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, requests sent before and after it was made, only later ones count")
{
    loads.sent("u0", start);
    loads.sent("u0", start + 60ms);
    loads.sent("u0", start + 90ms);
    loads.sent("u1", start + 90ms);
    loads.takeNews(digest(1, 2, 50), start + 100ms);
    CHECK(loads.latest("u0", start + 100ms)->sentSince == 2);
    loads.sent("u0", start + 110ms);
    CHECK(loads.latest("u0", start + 120ms)->sentSince == 3);
    loads.answered("u0", reading(4), start + 120ms);
    CHECK(loads.latest("u0", start + 120ms)->sentSince == 0);
}

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported load, more requests than are counted, gives the bound")
{
    loads.answered("u0", reading(2), start);
    for (int count = 0; count < 5'000; ++count) {
        loads.sent("u0", start + 1ms);
    }
    CHECK(loads.latest("u0", start + 2ms)->sentSince == maxCountedSends);
}

// Guards against memory that grows with the keys in digests, or with the incarnations of upstreams over weeks.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, digests and answers of unlisted upstreams, take no memory")
{
    for (std::uint32_t key = 0; key < 50'000; ++key) {
        Wire::LoadDigestT unlisted = digest(key, 1, 0);
        unlisted.upstream_reports = { { key, 1, 0, 8, 100, 0 } };
        loads.takeNews(unlisted, start);
    }
    loads.answered("unknown", reading(1), start);
    loads.answered("unknown", { LoadReadingKind::Unreadable, {} }, start);
    loads.sent("unknown", start);
    loads.answered("far", reading(1), start);
    CHECK(loads.size() == 0);
}

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, many incarnations one after the other, keep entries of the listed one")
{
    for (int incarnation = 0; incarnation < 2'000; ++incarnation) {
        const std::string id = fmt::format("life-{}", incarnation);
        add(id, "north");
        loads.answered(id, reading(1), start);
        loads.sent(id, start);
        remove(id);
        CHECK_FALSE(loads.latest(id, start));
    }
    CHECK(loads.size() == 0);
}

TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, a second without reports and requests, keep no entries")
{
    loads.answered("u0", reading(1), start);
    loads.sent("u1", start);
    loads.answered("u2", { LoadReadingKind::Unreadable, {} }, start);
    CHECK(loads.size() == 3);
    loads.tick(start + 1s);
    CHECK(loads.size() == 3);
    loads.tick(start + 1001ms);
    CHECK(loads.size() == 0);
}

// Guards against reports that two daemons send each other without end.
TEST_CASE_FIXTURE(ReportedLoadsFixture,
                  "Reported loads, passing on, is done once and only by the daemon that read them or its aggregator")
{
    loads.answered("u0", reading(1), start);
    const ReportScope own;
    ReportScope collected;
    collected.includesCollected = true;
    CHECK(loads.takeDue(own, start + 10ms).size() == 1);
    CHECK(loads.takeDue(own, start + 20ms).empty());

    Wire::LoadDigestT report = digest(1, 2, 0);
    report.kind = Wire::DigestKind::Report;
    loads.takeNews(report, start + 30ms);
    CHECK(loads.takeDue(own, start + 40ms).empty());
    const std::vector<Wire::UpstreamReport> due = loads.takeDue(collected, start + 70ms + 100us);
    REQUIRE(due.size() == 1);
    // Rounded up: an age that is rounded down at each daemon makes a report newer on its way.
    CHECK(due.front().age_ms() == 41);
    CHECK(loads.takeDue(collected, start + 80ms).empty());

    loads.takeNews(digest(2, 3, 0), start + 90ms);
    CHECK(running(start + 90ms) == 3);
    CHECK(loads.takeDue(collected, start + 95ms).empty());
}

// Guards against a round in which the daemons that are served last never get a report.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, passing on in turns, is done in as many successive turns")
{
    loads.answered("u0", reading(1), start);
    ReportScope scope;
    scope.turns = 3;
    for (unsigned turn = 0; turn < 5; ++turn) {
        CHECK(loads.takeDue(scope, start + turn * 100ms).size() == (turn < 3 ? 1 : 0));
    }
}

// Guards against upstreams whose reports are never sent because others report more often.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, more than fit into one digest, take turns")
{
    constexpr unsigned upstreams = 150;
    for (unsigned index = 0; index < upstreams; ++index) {
        add(fmt::format("many-{}", index), "north");
    }
    ReportScope scope;
    scope.maxCount = maxDigestReports;
    std::set<std::uint32_t> sent;
    for (unsigned turn = 0; turn < 4; ++turn) {
        for (unsigned index = 0; index < upstreams; ++index) {
            loads.answered(fmt::format("many-{}", index), reading(turn), start + turn * 100ms);
        }
        const std::vector<Wire::UpstreamReport> due = loads.takeDue(scope, start + turn * 100ms);
        CHECK(due.size() == maxDigestReports);
        for (const Wire::UpstreamReport &report : due) {
            sent.insert(report.key());
        }
    }
    CHECK(sent.size() == upstreams);
}

// Guards against datagrams that are cut or rejected: a digest is often full before reports are added.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, added to full digests, stay below the size of a datagram")
{
    for (unsigned index = 0; index < 150; ++index) {
        add(fmt::format("many-{}", index), "north");
        loads.answered(fmt::format("many-{}", index), { LoadReadingKind::Reported, { 1'000'000, 1'000'000, 1'000'000, 10'000 } },
                       start);
    }
    Wire::LoadDigestT header;
    header.daemon = std::string(60, 'd');
    header.region = std::string(30, 'r');
    header.sequence = 1;
    const std::vector<Wire::UpstreamShare> shares(100);
    const std::vector<Wire::PlacedPart> parts(100);
    std::vector<Wire::LoadDigestT> digests = splitIntoDigests(header, shares, parts);
    LimitDigest limits;
    limits.counts.resize(50);
    attachLimits(digests, header, std::move(limits));
    attachReports(digests, header, 1, loads, start + 1ms);
    std::size_t reports = 0;
    std::uint64_t sequence = 0;
    for (const Wire::LoadDigestT &digest : digests) {
        const std::vector<std::uint8_t> datagram = encodeDigest(digest);
        CHECK(datagram.size() <= maxLoadDatagramBytes);
        CHECK(isOk(decodeDigest(datagram)));
        CHECK(digest.sequence == ++sequence);
        reports += digest.upstream_reports.size();
    }
    CHECK(reports == 150);
}

// Guards against a new daemon that rejects the digests of the version before during an update of the fleet.
TEST_CASE_FIXTURE(ReportedLoadsFixture, "Reported loads, digest of an older daemon without them, is accepted and changes nothing")
{
    loads.answered("u0", reading(5), start);
    flatbuffers::FlatBufferBuilder builder;
    const auto daemon = builder.CreateString("other");
    const auto region = builder.CreateString("north");
    Wire::LoadDigestBuilder table(builder);
    table.add_daemon(daemon);
    table.add_region(region);
    table.add_sequence(3);
    builder.Finish(table.Finish());
    const Result<Wire::LoadDigestT> digest = decodeDigest({ builder.GetBufferPointer(), builder.GetSize() });
    REQUIRE(isOk(digest));
    loads.takeNews(valueOf(digest), start + 10ms);
    CHECK(running(start + 10ms) == 5);
}

// Guards against a daemon that is made to work through a digest of any length.
TEST_CASE("Reported loads, digest with too many, is rejected")
{
    Wire::LoadDigestT digest;
    digest.upstream_reports.resize(maxDigestReports);
    CHECK(isOk(decodeDigest(encodeDigest(digest))));
    digest.upstream_reports.resize(maxDigestReports + 1);
    CHECK_FALSE(isOk(decodeDigest(encodeDigest(digest))));
}
