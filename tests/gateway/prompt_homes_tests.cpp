// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Where shared parts of prompts are expected to lie.

#include "portpaddle/gateway/prefix_affinity.h"

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

/// Six engines of the own region and another region.
class HomesFixture
{
public:
    /// What each engine and, last, the other region is expected to keep of @p prompt.
    std::vector<double> expected(const PromptFacts &prompt, double ownUpstreams = 6, double otherUpstreams = 6) const
    {
        std::vector<UpstreamCandidate> engines(6);
        RegionCandidate away;
        std::vector<AffinityUpstream> homes;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            homes.push_back({ &engines[index], 100 + index });
        }
        std::vector<AffinityRegion> regions{ { nullptr, ownRegionKey, ownUpstreams } };
        if (otherUpstreams > 0) {
            regions.push_back({ &away, otherRegionKey, otherUpstreams });
        }
        applyPrefixAffinity(prompt, regions, homes);
        std::vector<double> kept;
        for (const UpstreamCandidate &engine : engines) {
            kept.push_back(engine.cachedTokens);
        }
        kept.push_back(away.cachedTokens);
        return kept;
    }
};

bool livesAway(const std::vector<double> &kept)
{
    return kept.back() > *std::max_element(kept.begin(), kept.end() - 1);
}

} // namespace

TEST_CASE_FIXTURE(HomesFixture, "Prefix affinity, shared part, has a preferred region that keeps most and two engines per region")
{
    for (std::uint64_t topic = 1; topic < 50; ++topic) {
        const std::vector<double> kept = expected(promptOf(topic));
        CHECK(std::count_if(kept.begin(), kept.end() - 1, [](double tokens) { return tokens > 0; }) == 2);
        CHECK(*std::max_element(kept.begin(), kept.end()) == doctest::Approx(4'500));
        CHECK(kept == expected(promptOf(topic)));
    }
}

TEST_CASE_FIXTURE(HomesFixture, "Prefix affinity, regions of unequal size, are chosen in proportion")
{
    int away = 0;
    for (std::uint64_t topic = 1; topic <= 2'000; ++topic) {
        away += livesAway(expected(promptOf(topic), 6, 18)) ? 1 : 0;
    }
    CHECK(away > 1'400);
    CHECK(away < 1'600);
}

TEST_CASE_FIXTURE(HomesFixture, "Prefix affinity, region that cannot be reached, leaves the own one as the preferred region")
{
    for (std::uint64_t topic = 1; topic < 50; ++topic) {
        CHECK_FALSE(livesAway(expected(promptOf(topic), 6, 0)));
    }
}

TEST_CASE_FIXTURE(HomesFixture, "Prefix affinity, prompt without a shared part, has no preferred region or engine")
{
    PromptFacts prompt;
    prompt.parts = { { 9, 2'000 } };
    prompt.promptTokens = 2'000;
    const std::vector<double> kept = expected(prompt);
    CHECK(std::all_of(kept.begin(), kept.end(), [](double tokens) { return tokens == 0; }));
}

TEST_CASE("Prefix affinity, engine known to keep all, is not expected to keep less")
{
    UpstreamCandidate engine;
    engine.cachedTokens = 5'000;
    const std::vector<AffinityRegion> regions{ { nullptr, ownRegionKey, 1 } };
    applyPrefixAffinity(promptOf(3), regions, { { &engine, 7 } });
    CHECK(engine.cachedTokens == 5'000);
}
