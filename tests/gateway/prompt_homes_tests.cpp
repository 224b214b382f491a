// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Where shared parts of prompts are expected to be cached.

#include "portpaddle/placement/prefix_affinity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Portpaddle;

namespace {

constexpr std::uint64_t ownRegionKey = 1;
constexpr std::uint64_t otherRegionKey = 2;

PromptFacts promptOf(std::uint64_t topic, unsigned shared = 5'000)
{
    PromptFacts prompt;
    prompt.parts = { { topic, shared }, { topic * 31, 2'000 } };
    prompt.promptTokens = shared + 2'000;
    return prompt;
}

/// Six engines of the own region, and another region.
class PrefixAffinityFixture
{
public:
    /// Returns the expected cached tokens of @p prompt at each engine and, last, the other region.
    std::vector<double> expected(const PromptFacts &prompt, double ownUpstreams = 6, double otherUpstreams = 6) const
    {
        std::vector<UpstreamCandidate> engines(6);
        RegionCandidate otherRegion;
        std::vector<AffinityUpstream> affinityUpstreams;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            affinityUpstreams.push_back({ &engines[index], 100 + index });
        }
        std::vector<AffinityRegion> regions{ { nullptr, ownRegionKey, ownUpstreams } };
        if (otherUpstreams > 0) {
            regions.push_back({ &otherRegion, otherRegionKey, otherUpstreams });
        }
        applyPrefixAffinity(prompt, regions, affinityUpstreams);
        std::vector<double> cached;
        for (const UpstreamCandidate &engine : engines) {
            cached.push_back(engine.cachedTokens);
        }
        cached.push_back(otherRegion.cachedTokens);
        return cached;
    }
};

bool prefersOtherRegion(const std::vector<double> &cached)
{
    return cached.back() > *std::max_element(cached.begin(), cached.end() - 1);
}

} // namespace

TEST_CASE_FIXTURE(PrefixAffinityFixture,
                  "Prefix affinity, shared part, is expected mostly in its preferred region and at two engines per region")
{
    for (std::uint64_t topic = 1; topic < 50; ++topic) {
        const std::vector<double> cached = expected(promptOf(topic));
        CHECK(std::count_if(cached.begin(), cached.end() - 1, [](double tokens) { return tokens > 0; }) == 2);
        CHECK(*std::max_element(cached.begin(), cached.end()) == doctest::Approx(4'500));
        CHECK(cached == expected(promptOf(topic)));
    }
}

TEST_CASE_FIXTURE(PrefixAffinityFixture, "Prefix affinity, regions of unequal size, are chosen in proportion")
{
    int otherRegionCount = 0;
    for (std::uint64_t topic = 1; topic <= 2'000; ++topic) {
        otherRegionCount += prefersOtherRegion(expected(promptOf(topic), 6, 18)) ? 1 : 0;
    }
    CHECK(otherRegionCount > 1'400);
    CHECK(otherRegionCount < 1'600);
}

TEST_CASE_FIXTURE(PrefixAffinityFixture, "Prefix affinity, unreachable region, leaves the own region as the preferred one")
{
    for (std::uint64_t topic = 1; topic < 50; ++topic) {
        CHECK_FALSE(prefersOtherRegion(expected(promptOf(topic), 6, 0)));
    }
}

TEST_CASE_FIXTURE(PrefixAffinityFixture, "Prefix affinity, prompt without a shared part, has no preferred region or engine")
{
    PromptFacts prompt;
    prompt.parts = { { 9, 2'000 } };
    prompt.promptTokens = 2'000;
    const std::vector<double> cached = expected(prompt);
    CHECK(std::all_of(cached.begin(), cached.end(), [](double tokens) { return tokens == 0; }));
}

TEST_CASE("Prefix affinity, engine known to cache all, is not expected to cache less")
{
    UpstreamCandidate engine;
    engine.cachedTokens = 5'000;
    const std::vector<AffinityRegion> regions{ { nullptr, ownRegionKey, 1 } };
    applyPrefixAffinity(promptOf(3), regions, { { &engine, 7 } });
    CHECK(engine.cachedTokens == 5'000);
}
