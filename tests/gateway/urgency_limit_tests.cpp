// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// An organisation that exceeds its limit with urgent, usual and cheap requests, in virtual time with realistic delays of digests.

#include "support/urgency_scenario.h"

#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/limits/region_division.h"
#include "portpaddle/limits/retry_time.h"
#include "portpaddle/placement/load_digest.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned fleetSizes[] = { 1, 29, 87, 300 };
constexpr double factors[] = { 2, 3, 5 };
constexpr double limits[] = { 300'000, 4'000'000 };

/// Calls @p check with the outcome for every fleet size, limit and excess, where the urgent demand is @p urgentDemand of the
/// limit.
template<typename Check>
void forEachFleet(double urgentDemand, const Check &check)
{
    for (const unsigned daemons : fleetSizes) {
        for (const double perSecond : limits) {
            for (const double factor : factors) {
                CAPTURE(daemons);
                CAPTURE(perSecond);
                CAPTURE(factor);
                const UrgencyOutcome outcome
                    = play(UrgencyPlay{ daemons, perSecond, factor, urgentPartFor(urgentDemand, factor) });
                CAPTURE(outcome.urgentDemand);
                CAPTURE(outcome.worstWindow);
                check(outcome);
            }
        }
    }
}

} // namespace

TEST_CASE("Limit by urgency, urgent demand below 0.8 of the limit, passes with cheap requests and leaves no capacity unused")
{
    // Guards against the rejection of urgent requests at the same rate as all others.
    forEachFleet(0.72, [](const UrgencyOutcome &outcome) {
        CHECK(outcome.urgentAdmitted >= 0.95);
        CHECK(outcome.cheapAdmitted >= 0.95);
        CHECK(outcome.used >= 0.85);
        CHECK(outcome.worstWindow <= 1);
    });
}

TEST_CASE("Limit by urgency, urgent demand alone beyond the limit, uses the limit for urgent and cheap requests")
{
    // Guards against capacity that usual requests get while urgent ones are rejected.
    forEachFleet(1.5, [](const UrgencyOutcome &outcome) {
        CHECK(outcome.urgentAdmitted * outcome.urgentDemand >= 0.8);
        CHECK(outcome.cheapAdmitted >= 0.9);
        CHECK(outcome.used >= 0.85);
        CHECK(outcome.worstWindow <= 1);
    });
}

TEST_CASE("Limit by urgency, every event with urgent long prompts, admits no more in any window than the limit and its tolerance")
{
    // Guards against capacity for urgent requests that is taken from the tolerance of the limit.
    for (const unsigned daemons : { 7U, 68U, 300U }) {
        for (const double perSecond : { 36'000.0, 300'000.0, 4'000'000.0 }) {
            for (const LimitEvent event : everyLimitEvent) {
                for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                    CAPTURE(nameOf(event));
                    CAPTURE(daemons);
                    CAPTURE(perSecond);
                    CAPTURE(seed);
                    const OrganisationLimit limit{ LimitUnit::Tokens, perSecond, perSecond, 200 };
                    const auto way = gatheredLimits(daemons, limit, seed);
                    CHECK(play({ event, daemons, perSecond, seed, true }, *way).worstWindow <= 1);
                }
            }
        }
    }
}

TEST_CASE("Limit by urgency, callers that return when told, are admitted in nine of ten cases and not all at once")
{
    // Guards against a Retry-After at which a request is as likely to be rejected as before. A simulation tells few callers a
    // time, hence those of all fleets are counted together.
    for (const double urgentDemand : { 0.3, 0.72, 1.5 }) {
        unsigned toldTime = 0;
        unsigned admitted = 0;
        for (const unsigned daemons : fleetSizes) {
            for (const double perSecond : limits) {
                for (const double factor : factors) {
                    CAPTURE(daemons);
                    CAPTURE(perSecond);
                    CAPTURE(factor);
                    UrgencyPlay scenario{ daemons, perSecond, factor, urgentPartFor(urgentDemand, factor) };
                    scenario.callersReturn = true;
                    const UrgencyOutcome outcome = play(scenario);
                    CHECK(outcome.worstWindow <= 1);
                    CHECK(outcome.used >= 0.85);
                    CHECK((outcome.toldTime < 100 || outcome.largestReturn <= 0.2));
                    toldTime += outcome.toldTime;
                    admitted += outcome.admittedOnReturn;
                }
            }
        }
        CAPTURE(urgentDemand);
        CAPTURE(toldTime);
        CHECK(toldTime >= 100);
        CHECK(admitted >= 0.9 * toldTime);
    }
}

TEST_CASE("Retry-After, request refused within the told part, is admitted at that time and before a third of its time left")
{
    // Guards against a time that the request itself can't use.
    SeededRandom random(9);
    unsigned told = 0;
    for (int round = 0; round < 2'000; ++round) {
        const std::uint64_t id = random.next();
        const double fraction = random.fraction();
        const std::chrono::milliseconds at{ 1'800'000'000'000 + static_cast<std::int64_t>(random.below(100'000)) };
        const double chance = admissionChance(id, at);
        if (chance < fraction) {
            continue;
        }
        const std::chrono::milliseconds time = retryTime({ chance, fraction, 20s }, random.fraction());
        if (time > 20s) {
            CHECK(time <= 30'001ms);
            continue;
        }
        ++told;
        CHECK(time <= 20s / 3);
        CHECK(admissionChance(id, at + time) < fraction);
        // The fraction may fall to a fifth of its value until then.
        CHECK(admissionChance(id, at + time) < 0.2 * fraction);
        CHECK(retryTime({ chance, fraction, 3 * time - 10ms }, 0) > 3 * time - 10ms);
    }
    CHECK(told >= 100);
}

TEST_CASE("Retry-After, class without any admission, lies beyond the deadline and differs between callers")
{
    // Guards against callers that return in vain or together.
    const auto first = retryTime({ 0.99, 0, 10s }, 0.1);
    const auto second = retryTime({ 0.99, 0, 10s }, 0.9);
    CHECK(first > 10s);
    CHECK(second > first + 1s);
}

TEST_CASE("Steady fractions, fall, are not used until they have found their level")
{
    SteadyFractions steady;
    SteadyTime now{ 1h };
    steady.update({ 1, 1, 1, 1 }, now);
    now += 10s;
    CHECK(steady.values(now)[2] == 1);
    steady.update({ 1, 1, 0.5, 1 }, now);
    CHECK(steady.values(now)[2] == 0);
    CHECK(steady.values(now)[1] == 1);
    CHECK(steady.values(now + 2s)[2] == 0.5);
    steady.update({ 1, 1, 1, 1 }, now + 2s);
    CHECK(steady.values(now + 2s)[2] < 0.8);
}

TEST_CASE("Limit by urgency, half of the daemons of the older version, is kept and used")
{
    // Guards against counts, grants or demands by urgency that an older daemon neither sends nor understands.
    for (const unsigned daemons : { 29U, 87U }) {
        for (const double factor : factors) {
            CAPTURE(daemons);
            CAPTURE(factor);
            UrgencyPlay scenario{ daemons, 300'000, factor, urgentPartFor(0.72, factor) };
            scenario.hasOldDaemons = true;
            const UrgencyOutcome outcome = play(scenario);
            CHECK(outcome.worstWindow <= 1);
            CHECK(outcome.used >= 0.85);
        }
    }
}

TEST_CASE("Limit by urgency, usual and patient requests, admits patient ones only beside all usual ones")
{
    UrgencyPlay scenario{ 29, 4'000'000, 3, urgentPartFor(0.3, 3) };
    scenario.patientPart = 0.9;
    const UrgencyOutcome outcome = play(scenario);
    CHECK(outcome.urgentAdmitted >= 0.95);
    CHECK(outcome.usualAdmitted >= 0.9);
    CHECK(outcome.patientAdmitted <= 0.4);
    CHECK(outcome.used >= 0.85);
}

TEST_CASE("Division of a limit, urgent demand in one region, gives it what it needs before usual demand elsewhere")
{
    const std::vector<double> parts
        = divideLimit(std::vector<ByLimitClass>{ { 0, 60, 0, 0 }, { 0, 0, 300, 0 }, { 0, 0, 100, 0 } }, 100);
    CHECK(parts[0] == doctest::Approx(60));
    CHECK(parts[1] == doctest::Approx(30));
    CHECK(parts[2] == doctest::Approx(10));
}

TEST_CASE("Division of a limit, any demand, is complete and gives no region less than nothing")
{
    // Guards against a remainder that rounding makes negative, which divided by no demand is not a number.
    SeededRandom random(7);
    for (int round = 0; round < 1'000; ++round) {
        std::vector<ByLimitClass> demands(1 + random.below(4));
        for (ByLimitClass &demand : demands) {
            for (double &each : demand) {
                each = random.below(2) == 0 ? 0 : 1'000 * random.fraction();
            }
            demand[2] += 0.1;
        }
        double sum = 0;
        for (const double part : divideLimit(demands, 700)) {
            CHECK(part >= 0);
            sum += part;
        }
        CHECK(sum == doctest::Approx(700));
    }
}

TEST_CASE("Limit digest, entries by urgency, travel in the datagrams of the entries that they belong to")
{
    // Guards against classes that arrive without the totals they are a part of, or a datagram beyond the size bound.
    Wire::LoadDigestT header;
    header.daemon = "a-daemon-with-a-rather-long-name-17";
    header.region = "a-region-with-a-long-name";
    header.services.resize(maxDigestServices);
    LimitDigest limits;
    for (std::uint32_t key = 0; key < 100; ++key) {
        limits.counts.emplace_back(key, 1, 1, 1);
        limits.urgencyCounts.emplace_back(key, 1, 1, 1);
        limits.grants.emplace_back(key, 1.0F, 1.0F);
        limits.urgencyGrants.emplace_back(key, 1.0F, 1.0F, 1.0F, 1.0F, 1.0F, 1.0F, 1.0F, 20.0F);
        limits.demands.emplace_back(key, 1.0F);
        limits.urgencyDemands.emplace_back(key, 1.0F, 1.0F, 1.0F);
    }
    std::vector<Wire::LoadDigestT> digests = splitIntoDigests(header, std::vector<Wire::UpstreamShare>(50), {});
    attachLimits(digests, header, limits);
    std::size_t entries = 0;
    for (const Wire::LoadDigestT &digest : digests) {
        const std::vector<std::uint8_t> datagram = encodeDigest(digest);
        CHECK(datagram.size() <= maxLoadDatagramBytes);
        const Result<Wire::LoadDigestT> decoded = decodeDigest(datagram);
        REQUIRE(isOk(decoded));
        const Wire::LoadDigestT &read = valueOf(decoded);
        REQUIRE(read.limit_counts.size() == read.limit_urgency_counts.size());
        REQUIRE(read.limit_grants.size() == read.limit_urgency_grants.size());
        REQUIRE(read.limit_demands.size() == read.limit_urgency_demands.size());
        for (std::size_t index = 0; index < read.limit_counts.size(); ++index) {
            CHECK(read.limit_counts[index].organisation() == read.limit_urgency_counts[index].organisation());
        }
        entries += read.limit_counts.size() + read.limit_grants.size() + read.limit_demands.size();
    }
    CHECK(entries == 300);
}

TEST_CASE("Limit by urgency, daemon that loses its aggregator, spends the last rate on urgent requests first")
{
    // Guards against usual requests that take the rate of a partitioned daemon from urgent ones.
    Organisation shop;
    shop.name = "shop";
    shop.limit = { LimitUnit::Tokens, 100'000, 100'000, 200 };
    OrganisationTable table;
    table.add(shop, {});
    OrganisationLimits limits(
        "d1", "north", [](std::uint32_t, SteadyTime) { return false; }, [](const std::string &, SteadyTime) { return false; });
    SteadyTime now{ 1h };
    limits.setFleet({ "north" }, 10);
    limits.setOrganisations(table, now);
    limits.takeGrants(
        std::vector<Wire::LimitGrant>{ { organisationKey("shop"), 0.5F, 0.5F } }, now,
        std::vector<Wire::LimitUrgencyGrant>{ { organisationKey("shop"), 1.0F, 1.0F, 0.0F, 0.0F, 1.0F, 0.0F, 0.0F, 0.0F } });
    SeededRandom random{ 5 };
    std::array<unsigned, 2> admitted{};
    for (int index = 0; index < 400; ++index, now += 10ms) {
        const Urgency urgency = index % 2 == 0 ? Urgency::Urgent : Urgency::Usual;
        const bool granted = index >= 150;
        admitted.at(index % 2) += !limits.admit(shop, { .units = 1'000, .urgency = urgency }, now, random) && granted ? 1 : 0;
    }
    // Half of 100,000 units per second: all of the 125 urgent requests of the partition, but for those of its beginning.
    CHECK(admitted[0] >= 115);
    CHECK(admitted[1] <= 2);
}
