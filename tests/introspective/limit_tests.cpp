// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Limits of organisations, divided into slices over many daemons.

#include "portpaddle/limits/limiter.h"

#include <memory>
#include <numeric>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

constexpr Millis step{ 100 };

/// Runs many limiters that learn of each other's demand after a delay, on a manual clock.
class FleetFixture
{
public:
    explicit FleetFixture(unsigned daemons = 8)
    {
        policy.maxRequestsPerSecond = 80;
        for (unsigned index = 0; index < daemons; ++index) {
            limiters.push_back(std::make_unique<Limiter>());
        }
        wanted.resize(daemons, 0);
        offered.resize(daemons, 0);
        admitted.resize(daemons, 0);
        receivedDemand.resize(daemons, std::vector<double>(daemons, 0));
        groups.resize(daemons, 0);
        exchange();
    }

    /// Advances the clock by @p time with arrivals at the wanted rates; returns the number of admitted requests.
    unsigned pass(Millis time)
    {
        const unsigned before = total();
        for (Millis end = now + time; now < end; now += step) {
            for (std::size_t index = 0; index < limiters.size(); ++index) {
                offered[index] += wanted[index] * static_cast<double>(step.count()) / 1000;
                for (; offered[index] >= 1; offered[index] -= 1) {
                    admitted[index] += isOk(limiters[index]->admit("o", policy, 0, now)) ? 1 : 0;
                }
            }
            if (now.count() % 1000 == 0) {
                exchange();
            }
        }
        return total() - before;
    }

    void exchange()
    {
        std::vector<double> demand(limiters.size(), 0);
        for (std::size_t index = 0; index < limiters.size(); ++index) {
            for (const OwnDemand &own : limiters[index]->demand(now)) {
                demand[index] = own.requestsPerSecond;
            }
        }
        for (std::size_t index = 0; index < limiters.size(); ++index) {
            std::vector<OthersDemand> others;
            bool partitioned = false;
            for (std::size_t other = 0; other < limiters.size(); ++other) {
                const bool reachable = groups[index] == groups[other];
                partitioned = partitioned || !reachable;
                receivedDemand[index][other] = reachable ? demand[other] : receivedDemand[index][other];
                if (other != index) {
                    others.push_back(OthersDemand{ "o", receivedDemand[index][other] });
                }
            }
            limiters[index]->update(others, static_cast<unsigned>(limiters.size()), partitioned, now);
        }
    }

    unsigned total() const
    {
        return std::accumulate(admitted.begin(), admitted.end(), 0U);
    }

    Millis now{ 1'000'000 };
    RequestPolicy policy;
    std::vector<std::unique_ptr<Limiter>> limiters;
    std::vector<double> wanted;
    std::vector<double> offered;
    std::vector<unsigned> admitted;
    std::vector<std::vector<double>> receivedDemand;
    std::vector<int> groups;
};

} // namespace

TEST_CASE_FIXTURE(FleetFixture, "Limits, demand at one daemon, its slice grows until most of the limit is used there")
{
    wanted[0] = 200;
    pass(Millis{ 60'000 });
    const unsigned admittedNow = pass(Millis{ 10'000 });
    CHECK(admittedNow >= 80 * 10 * 0.7);
    CHECK(admittedNow <= 80 * 10 * 1.05);
}

TEST_CASE_FIXTURE(FleetFixture, "Limits, demand everywhere at once, stays within twice the limit at any time")
{
    wanted.assign(8, 50);
    for (int second = 0; second < 30; ++second) {
        CHECK(pass(Millis{ 1'000 }) <= 2 * 80 + 8);
    }
    CHECK(pass(Millis{ 10'000 }) <= 80 * 10 * 1.05);
}

TEST_CASE_FIXTURE(FleetFixture, "Limits, demand moves from one daemon to another, overshoot stays within the bound")
{
    wanted[0] = 200;
    pass(Millis{ 60'000 });
    wanted[0] = 0;
    wanted[7] = 200;
    for (int second = 0; second < 60; ++second) {
        CHECK(pass(Millis{ 1'000 }) <= 2 * 80 + 8);
    }
    CHECK(pass(Millis{ 10'000 }) >= 80 * 10 * 0.7);
}

TEST_CASE_FIXTURE(FleetFixture, "Limits, fleet partitioned with new demand on both sides, each side stays within its slices")
{
    wanted.assign(8, 20);
    pass(Millis{ 30'000 });
    groups = { 0, 0, 0, 0, 1, 1, 1, 1 };
    wanted.assign(8, 100);
    for (int second = 0; second < 60; ++second) {
        CHECK(pass(Millis{ 1'000 }) <= 2 * 80 + 8);
    }
    groups.assign(8, 0);
    pass(Millis{ 30'000 });
    CHECK(pass(Millis{ 10'000 }) <= 80 * 10 * 1.05);
}

TEST_CASE("Limits, refusal, carries a retry time and reports as not run")
{
    Limiter limiter;
    RequestPolicy policy;
    policy.maxRequestsPerSecond = 1;
    const Millis now{ 1'000'000 };
    REQUIRE(isOk(limiter.admit("o", policy, 0, now)));
    const Result<Permit> refused = limiter.admit("o", policy, 0, now);
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::LimitReached);
    CHECK(errorOf(refused).run == RunState::NotRun);
    CHECK(*errorOf(refused).retryAfter == Millis{ 1000 });
    CHECK(isOk(limiter.admit("o", policy, 0, now + Millis{ 1000 })));
    CHECK(isOk(limiter.admit("other", policy, 0, now)));
}

TEST_CASE("Limits, requests in progress, are released when they end")
{
    Limiter limiter;
    RequestPolicy policy;
    policy.maxConcurrent = 1;
    const Millis now{ 1'000'000 };
    {
        const Result<Permit> held = limiter.admit("o", policy, 0, now);
        REQUIRE(isOk(held));
        CHECK(!isOk(limiter.admit("o", policy, 0, now)));
    }
    CHECK(isOk(limiter.admit("o", policy, 0, now)));
}

TEST_CASE("Limits, request larger than the token bucket, is paid off by later refills")
{
    Limiter limiter;
    RequestPolicy policy;
    policy.maxTokensPerSecond = 100;
    const Millis now{ 1'000'000 };
    REQUIRE(isOk(limiter.admit("o", policy, 1'000, now)));
    CHECK(!isOk(limiter.admit("o", policy, 10, now + Millis{ 5'000 })));
    CHECK(isOk(limiter.admit("o", policy, 10, now + Millis{ 11'000 })));
}

TEST_CASE_FIXTURE(FleetFixture,
                  "Limits, all daemons partitioned from each other with new demand, sum stays within twice the limit")
{
    wanted.assign(8, 20);
    pass(Millis{ 30'000 });
    groups = { 0, 1, 2, 3, 4, 5, 6, 7 };
    wanted.assign(8, 100);
    for (int second = 0; second < 90; ++second) {
        CHECK(pass(Millis{ 1'000 }) <= 2 * 80 + 8);
    }
}
