// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Limits over all daemons, in virtual time with realistic delays of digests.

#include "support/limit_scenario.h"

#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/limits/organisation_limits.h"
#include "portpaddle/placement/load_digest.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr double limits[] = { 36'000, 300'000, 4'000'000 };

LimitOutcome playAggregated(const LimitPlay &scenario)
{
    const OrganisationLimit limit{ LimitUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 };
    const auto strategy = gatheredLimits(scenario.daemons, limit, scenario.seed);
    return play(scenario, *strategy);
}

} // namespace

TEST_CASE("Limits, every event and fleet size, admit no more in any window than the limit and its tolerance")
{
    for (const unsigned daemons : { 7U, 68U, 300U }) {
        for (const double perSecond : limits) {
            for (const LimitEvent event : everyLimitEvent) {
                for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                    const LimitOutcome outcome = playAggregated({ event, daemons, perSecond, seed });
                    CAPTURE(nameOf(event));
                    CAPTURE(daemons);
                    CAPTURE(perSecond);
                    CAPTURE(seed);
                    CHECK(outcome.worstWindow <= 1);
                }
            }
        }
    }
}

TEST_CASE("Limits, calm fleet, refuse almost nothing below the limit except for the smallest organisations")
{
    for (const unsigned daemons : { 7U, 68U, 300U }) {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            CAPTURE(daemons);
            CAPTURE(seed);
            CHECK(playAggregated({ LimitEvent::Calm, daemons, 4'000'000, seed }).refusedBelow < 0.01);
            CHECK(playAggregated({ LimitEvent::Calm, daemons, 300'000, seed }).refusedBelow < 0.01);
            // Three requests per second, some of which are larger than the limit of one second.
            CHECK(playAggregated({ LimitEvent::Calm, daemons, 36'000, seed }).refusedBelow < 0.12);
        }
    }
}

namespace {

/// One of ten daemons, which gets no digests.
class LoneDaemonFixture
{
public:
    LoneDaemonFixture()
    {
        shop.name = "shop";
        shop.limit = { LimitUnit::Tokens, 100'000, 100'000, 200 };
        table.add(shop, {});
        limits.setFleet({ "north" }, 10);
        limits.setOrganisations(table, now);
    }

    /// Returns the admitted units of 50 requests with @p interval between them.
    double admitted(std::chrono::milliseconds interval = 0ms)
    {
        double units = 0;
        for (int index = 0; index < 50; ++index, now += interval) {
            units += limits.admit(shop, 1'000, now, random) ? 0 : 1'000;
        }
        return units;
    }

    SteadyTime now{ 1h };
    Organisation shop;
    OrganisationTable table;
    SeededRandom random{ 5 };
    OrganisationLimits limits{ "d1", "north", [](std::uint32_t, SteadyTime) { return false; },
                               [](const std::string &, SteadyTime) { return false; } };
};

} // namespace

TEST_CASE_FIXTURE(LoneDaemonFixture,
                  "Limits, daemon that has just started, admits its even share of the burst before digests arrive")
{
    const double first = admitted();
    CHECK(first >= 10'000);
    CHECK(first <= 11'000);
    now += 1s;
    CHECK(admitted() <= 11'000);
}

TEST_CASE_FIXTURE(LoneDaemonFixture, "Limits, daemon that loses its aggregator, continues with the share of its demand")
{
    limits.takeGrants(std::vector<Wire::LimitGrant>{ { organisationKey("shop"), 1.0F, 0.5F } }, now);
    // The region may admit half of 50,000 units per second: 25,000 per second.
    CHECK(admitted() == 50'000);
    now += 1'500ms;
    CHECK(admitted() <= 1'000);
    const double later = admitted(20ms);
    CHECK(later >= 20'000);
    CHECK(later <= 30'000);
}

TEST_CASE("Limit digest, more entries than fit one datagram, all arrive in datagrams within the size bound")
{
    Wire::LoadDigestT header;
    header.daemon = "a-daemon-with-a-rather-long-name-17";
    header.region = "a-region-with-a-long-name";
    header.services.resize(maxDigestServices);
    const std::vector<Wire::UpstreamShare> shares(50);
    const std::vector<Wire::PlacedPart> parts(30);
    for (const std::size_t count : { 0U, 1U, 24U, 100U }) {
        std::vector<Wire::LoadDigestT> digests = splitIntoDigests(header, shares, parts);
        LimitDigest limitDigest;
        limitDigest.counts.resize(count);
        limitDigest.grants.resize(count);
        limitDigest.demands.resize(count);
        attachLimits(digests, header, limitDigest);
        std::size_t counts = 0;
        std::size_t others = 0;
        for (std::size_t index = 0; index < digests.size(); ++index) {
            CHECK(digests[index].sequence == index);
            const std::vector<std::uint8_t> datagram = encodeDigest(digests[index]);
            CHECK(datagram.size() <= maxLoadDatagramBytes);
            const Result<Wire::LoadDigestT> decoded = decodeDigest(datagram);
            REQUIRE(isOk(decoded));
            counts += valueOf(decoded).limit_counts.size();
            others += valueOf(decoded).limit_grants.size() + valueOf(decoded).limit_demands.size();
        }
        CHECK(counts == count);
        CHECK(others == 2 * count);
    }
}

TEST_CASE("Load digest, more limits than one may hold, is refused")
{
    Wire::LoadDigestT digest;
    digest.limit_counts.resize(maxDigestLimits + 1);
    CHECK_FALSE(isOk(decodeDigest(encodeDigest(digest))));
}

TEST_CASE("Region limit, any counters of hostile peers, do not distort the demand of others")
{
    const RegionLimit::IsSilent neverSilent = [](const std::string &, SteadyTime) { return false; };
    SeededRandom random(11);
    RegionLimit limit;
    SteadyTime now{ 1h };
    limit.setOptions({ LimitUnit::Tokens, 100'000, 100'000, 200 }, 1, {}, now);
    DemandCounters honest;
    for (int round = 0; round < 200; ++round) {
        now += 100ms;
        const auto randomCounter = [&random] { return static_cast<std::uint32_t>(random.next()) >> random.below(32); };
        limit.recordCounters("hostile", { randomCounter(), randomCounter(), randomCounter() }, now);
        limit.recordCounters("other", { 0xffffffffU, 0xffffffffU, static_cast<std::uint32_t>(round % 4) }, now);
        honest.askedUnits += 1'000;
        ++honest.askedRequests;
        limit.recordCounters("honest", honest, now);
        CHECK(std::isfinite(limit.grant(neverSilent, now).fraction));
        CHECK(limit.askedRate(now) >= 999);
    }
}

TEST_CASE("Limit, excessive tokens claimed by a caller, count as the maximum of one request")
{
    const OrganisationLimit limit{ LimitUnit::Tokens, 100'000, 100'000, 200 };
    CHECK(limit.costOf(4e9) <= 1e7);
    CHECK(limit.costOf(0) == 200);
    CHECK(limit.costOf(1'500) == 1'500);
}

// A request of an organisation would be refused by a comparison with such a number.
TEST_CASE("Organisation limits, grant that is not a number, is ignored")
{
    OrganisationLimits limits(
        "a", "north", [](std::uint32_t, SteadyTime) { return false; }, [](const std::string &, SteadyTime) { return false; });
    Organisation organisation;
    organisation.name = "shop";
    organisation.limit.perSecond = 100;
    organisation.limit.burst = 100;
    OrganisationTable table;
    table.add(organisation, {});
    const SteadyTime now{ std::chrono::hours(1) };
    limits.setOrganisations(table, now);
    const std::vector<Wire::LimitGrant> grants{ { organisationKey("shop"), std::nanf(""), 1 } };
    limits.takeGrants(grants, now);
    SeededRandom random{ 5 };
    CHECK_FALSE(limits.admit(organisation, 1, now, random).has_value());
}
