// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Parts of rollouts: which version a request may use, the verdict, the plan, and the forms of orders, records and reports.

#include "platform/rollout_orders.h"
#include "portpaddle/gateway/version_filter.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/rollouts/rollout_digest.h"
#include "portpaddle/rollouts/rollout_plan.h"
#include "portpaddle/rollouts/rollout_record.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const RolloutOrder order{ 7, "s", "v2", 30s };

RolloutRecord record(RolloutStage stage, double share)
{
    RolloutRecord result;
    result.order = order.id;
    result.service = order.service;
    result.version = order.version;
    result.stage = stage;
    result.share = share;
    return result;
}

VersionCounts counts(std::uint64_t usual, std::uint64_t failed, std::uint64_t slow = 0)
{
    VersionCounts result;
    result.failed = failed;
    result.byTime.at(answerTimeClass(30ms)) = usual;
    result.byTime.at(answerTimeClass(150ms)) = slow;
    return result;
}

} // namespace

TEST_CASE("Version rule, no order was given, leaves all versions alike")
{
    CHECK_FALSE(versionRule({}, true));
    CHECK(drawArm(std::nullopt, 0.5) == VersionArm::Any);
    CHECK(admitsVersion(std::nullopt, "v1"));
}

TEST_CASE("Version rule, an order has no record yet, gives the new version nothing")
{
    const auto rule = versionRule({ order, std::nullopt }, true);
    REQUIRE(rule);
    CHECK_FALSE(admitsVersion(rule, "v2"));
    CHECK(admitsVersion(rule, "v1"));
    const auto stale = versionRule({ RolloutOrder{ 9, "s", "v3", 30s }, record(RolloutStage::Completed, 1) }, true);
    REQUIRE(stale);
    CHECK(stale->version == "v3");
    CHECK(stale->share == 0);
}

TEST_CASE("Version rule, the store is unreachable, gives the new version nothing unless the rollout may have completed")
{
    CHECK(versionRule({ order, record(RolloutStage::Trial, 0.08) }, false)->share == 0);
    CHECK(versionRule({ order, record(RolloutStage::Shift, 0.5) }, false)->share == 0);
    CHECK(versionRule({ order, record(RolloutStage::Shift, 1) }, false)->share == 1);
    CHECK(versionRule({ order, record(RolloutStage::Completed, 1) }, false)->share == 1);
}

TEST_CASE("Version rule, a rollout has ended, admits one side only")
{
    const auto completed = versionRule({ std::nullopt, record(RolloutStage::Completed, 1) }, true);
    CHECK(admitsVersion(completed, "v2"));
    CHECK_FALSE(admitsVersion(completed, "v1"));
    CHECK_FALSE(fallbackArm(completed, VersionArm::Newer));
    const auto rolledBack = versionRule({ order, record(RolloutStage::RolledBack, 0) }, true);
    CHECK_FALSE(admitsVersion(rolledBack, "v2"));
    CHECK(admitsVersion(rolledBack, "v1"));
    const auto shift = versionRule({ order, record(RolloutStage::Shift, 1) }, true);
    CHECK(admitsVersion(shift, "v1"));
    CHECK(fallbackArm(shift, VersionArm::Newer) == VersionArm::Older);
    CHECK_FALSE(fallbackArm(shift, VersionArm::Older));
}

TEST_CASE("Version filter, a version is on trial, uses as large a part of its upstreams as its share")
{
    std::vector<UpstreamRecord> upstreams(40);
    std::vector<const UpstreamRecord *> records;
    std::vector<UpstreamCandidate> candidates(upstreams.size());
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        upstreams[index].id = fmt::format("u{}", index);
        upstreams[index].version = index % 2 == 0 ? "v1" : "v2";
        records.push_back(&upstreams[index]);
        candidates[index].index = static_cast<std::uint32_t>(index);
    }
    const auto usable = [&records](const std::vector<UpstreamCandidate> &all, const std::string &version) {
        return std::count_if(all.begin(), all.end(), [&](const UpstreamCandidate &candidate) {
            return candidate.exclusionReason == ExclusionReason::None && records[candidate.index]->version == version;
        });
    };
    const std::optional<VersionRule> rule = VersionRule{ "v2", 0.08, false };
    std::vector<UpstreamCandidate> newer = candidates;
    excludeOtherVersions(rule, VersionArm::Newer, newer, records);
    CHECK(usable(newer, "v1") == 0);
    CHECK(usable(newer, "v2") == 2);
    std::vector<UpstreamCandidate> older = candidates;
    excludeOtherVersions(rule, VersionArm::Older, older, records);
    CHECK(usable(older, "v1") == 20);
    CHECK(usable(older, "v2") == 0);
}

TEST_CASE("Rollout verdict, both versions fail or are slow alike, finds no fault")
{
    CHECK_FALSE(judge({ { 1, { counts(1'000, 140), counts(100, 14) } } }).isBad());
    CHECK_FALSE(judge({ { 1, { counts(1'000, 0, 200), counts(100, 0, 20) } } }).isBad());
    CHECK_FALSE(judge({ { 1, { counts(1'000, 0), counts(100, 5) } } }).isBad());
    CHECK_FALSE(judge({ { 1, { counts(10, 0), counts(0, 100) } } }).isBad());
}

TEST_CASE("Rollout verdict, the new version fails or is slow more often, names the fault")
{
    CHECK(judge({ { 1, { counts(1'000, 0), counts(100, 10) } } }).fault == RolloutFault::Failures);
    CHECK(judge({ { 1, { counts(1'000, 140), counts(60, 60) } } }).fault == RolloutFault::Failures);
    CHECK(judge({ { 1, { counts(1'000, 0), counts(80, 0, 20) } } }).fault == RolloutFault::Slowness);
}

TEST_CASE("Rollout verdict, one route of many is affected, finds the fault")
{
    const RolloutCounts mixed{ { 1, { counts(100'000, 0), counts(10'000, 0) } }, { 2, { counts(1'000, 0), counts(20, 12) } } };
    CHECK(judge(mixed).isBad());
}

TEST_CASE("Rollout plan, a good version, is tried, shifted and completed once nothing runs at older ones")
{
    const RolloutTerms terms{ 0.1 };
    RolloutFacts facts{ order, std::nullopt, 0s, {}, 5 };
    std::optional<RolloutRecord> next = nextRecord(facts, terms);
    REQUIRE(next);
    CHECK(next->stage == RolloutStage::Trial);
    CHECK(next->share < terms.exposureShare);
    facts.record = next;
    facts.elapsed = 14s;
    CHECK_FALSE(nextRecord(facts, terms));
    double share = next->share;
    facts.elapsed = 15s;
    while (share < 1) {
        next = nextRecord(facts, terms);
        REQUIRE(next);
        CHECK(next->stage == RolloutStage::Shift);
        CHECK(next->share > share);
        share = next->share;
        facts.record = next;
        facts.elapsed += 2s;
    }
    facts.elapsed = facts.record->elapsed + 4s;
    CHECK_FALSE(nextRecord(facts, terms));
    facts.runningOlder = 0;
    REQUIRE(nextRecord(facts, terms));
    CHECK(nextRecord(facts, terms)->stage == RolloutStage::Completed);
    facts.runningOlder = 5;
    facts.elapsed = 29s;
    CHECK(nextRecord(facts, terms)->stage == RolloutStage::Completed);
}

TEST_CASE("Rollout plan, a bad version at any step, is rolled back; a final stage stays")
{
    for (const RolloutStage stage : { RolloutStage::Trial, RolloutStage::Shift }) {
        const RolloutFacts facts{ order, record(stage, 0.5), 10s, { RolloutFault::Failures, 9, 10 }, 0 };
        const auto next = nextRecord(facts, {});
        REQUIRE(next);
        CHECK(next->stage == RolloutStage::RolledBack);
        CHECK(next->share == 0);
        CHECK_FALSE(next->reason.empty());
    }
    for (const RolloutStage stage : { RolloutStage::Completed, RolloutStage::RolledBack }) {
        CHECK_FALSE(nextRecord({ order, record(stage, 1), 29s, { RolloutFault::Failures, 9, 10 }, 0 }, {}));
    }
}

TEST_CASE("Rollout record, encoded and decoded, is the same; a malformed one has no value")
{
    RolloutRecord written = record(RolloutStage::Shift, 0.25);
    written.elapsed = 1'234ms;
    written.reason = "x";
    const auto read = decodeRolloutRecord("s", encodeRolloutRecord(written), 12);
    REQUIRE(read);
    CHECK(read->order == written.order);
    CHECK(read->stage == written.stage);
    CHECK(read->share == doctest::Approx(written.share));
    CHECK(read->elapsed == written.elapsed);
    CHECK(read->revision == 12);
    for (const std::string text : { "", "{}", "[1]", R"({"order":1,"version":"v","stage":"x","share":1,"elapsed_ms":0})",
                                    R"({"order":1,"version":2,"stage":"trial","share":1,"elapsed_ms":0})" }) {
        CHECK_FALSE(decodeRolloutRecord("s", text, 1));
    }
    CHECK(serviceOfRolloutKey(rolloutRecordKey("s")) == "s");
}

TEST_CASE("Rollout order, valid and malformed texts, are told apart")
{
    const auto read = parseRolloutOrder("s", { "op/rollout/s", R"({"service":"s","targetVersion":"v2","durationS":30})", 5 });
    REQUIRE(isOk(read));
    CHECK(valueOf(read).id == 5);
    CHECK(valueOf(read).duration == 30s);
    for (const std::string text : { "", "{}", R"({"targetVersion":"","durationS":30})", R"({"targetVersion":"v","durationS":-1})",
                                    R"({"targetVersion":"v","durationS":"x"})", R"({"targetVersion":1,"durationS":1})" }) {
        CHECK_FALSE(isOk(parseRolloutOrder("s", { "op/rollout/s", text, 5 })));
    }
    CHECK(serviceOfRolloutOrderKey("op/rollout/s") == "s");
    CHECK_FALSE(serviceOfRolloutOrderKey("op/config"));
    CHECK(encodeRolloutStatus(record(RolloutStage::Shift, 1)).find("running") != std::string::npos);
    CHECK(encodeRolloutStatus(record(RolloutStage::RolledBack, 0)).find("rolled_back") != std::string::npos);
}

TEST_CASE("Rollout report, many routes, is split into digests that fit a datagram and decode to the same counts")
{
    RolloutReport report{ 7, {}, 3 };
    for (std::uint32_t route = 0; route < 12; ++route) {
        report.counts[route] = { counts(10 + route, route), counts(5, 1, 2) };
    }
    Wire::LoadDigestT header;
    header.daemon = std::string(60, 'd');
    RolloutCounts read;
    for (const Wire::LoadDigestT &digest : encodeReports(header, Wire::DigestKind::RolloutSum, { report })) {
        const auto bytes = encodeDigest(digest);
        const auto decoded = decodeDigest(bytes);
        REQUIRE(isOk(decoded));
        const RolloutReport part = decodeReport(valueOf(decoded));
        CHECK(part.order == 7);
        CHECK(part.runningOlder == 3);
        read += part.counts;
    }
    REQUIRE(read.size() == report.counts.size());
    for (const auto &[route, routeCounts] : report.counts) {
        CHECK(read[route].older.byTime == routeCounts.older.byTime);
        CHECK(read[route].newer.byTime == routeCounts.newer.byTime);
        CHECK(read[route].older.failed == routeCounts.older.failed);
    }
}
