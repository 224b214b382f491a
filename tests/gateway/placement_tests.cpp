// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Placement of requests: the decision itself, and the load and cache state that it uses.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/placement/placement.h"
#include "portpaddle/placement/prefix_memory.h"
#include "portpaddle/placement/upstream_loads.h"
#include "portpaddle/streams/fetch_offers.h"

#include <doctest/doctest.h>

#include <cmath>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime now{ 1h };

/// Two engines and one other region, all idle, and a prompt of 12,000 tokens.
class PlacementFixture
{
public:
    PlacementFixture()
    {
        for (std::uint32_t index = 0; index < 2; ++index) {
            UpstreamCandidate engine;
            engine.index = index;
            engine.slots = 128;
            engine.memoryTotal = 650'000;
            engine.tokensPerMs = 100;
            engines.push_back(engine);
        }
        request.promptTokens = 12'000;
        request.sharedTokens = 5'400;
        request.memoryTokens = 12'400;
        request.remainingTargetMs = 1'000;
        otherRegion.tokensPerMs = 100;
        otherRegion.distanceMs = 115;
    }

    Placement decidePlacement()
    {
        return place(request, engines, regions, PlacementWeights{}, random);
    }

    std::vector<UpstreamCandidate> engines;
    std::vector<RegionCandidate> regions;
    RegionCandidate otherRegion;
    PlacementRequest request;
    SeededRandom random{ 3 };
};

PromptFacts promptOf(unsigned shared, unsigned own, std::uint64_t topic)
{
    PromptFacts prompt;
    prompt.parts = { { topic, shared }, { topic * 31 + own, own } };
    prompt.promptTokens = shared + own;
    prompt.maxTokensOut = 400;
    return prompt;
}

} // namespace

TEST_CASE_FIXTURE(PlacementFixture, "Placement, prompt partly cached by one engine, goes there despite a short queue")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 10'000;
    CHECK(decidePlacement().index == 1);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, queue that would miss the target, outweighs cached parts")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 150'000;
    CHECK(decidePlacement().index == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, tokens of less urgent requests, do not delay an urgent one")
{
    engines[0].pendingTokens = { 0, 50'000, 50'000 };
    engines[1].pendingTokens = { 20'000, 0, 0 };
    request.urgency = Urgency::Urgent;
    CHECK(decidePlacement().index == 0);
    request.urgency = Urgency::Late;
    CHECK(decidePlacement().index == 1);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, target missed everywhere, makes the request late")
{
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[1] = 400'000;
    }
    CHECK(decidePlacement().verdict == Verdict::Serve);
    CHECK(decidePlacement().urgency == Urgency::Late);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, own region overloaded, forwards to another region")
{
    regions.push_back(otherRegion);
    CHECK(decidePlacement().verdict == Verdict::Serve);
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[1] = 200'000;
    }
    CHECK(decidePlacement().verdict == Verdict::Forward);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, all upstreams excluded, refuses with the reason")
{
    for (UpstreamCandidate &engine : engines) {
        engine.exclusionReason = ExclusionReason::ShareSpent;
    }
    CHECK(decidePlacement().verdict == Verdict::Refuse);
    CHECK(decidePlacement().reason == ExclusionReason::ShareSpent);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, first token predicted after the time-out of the caller, refuses")
{
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[0] = 500'000;
    }
    request.firstTokenTimeoutMs = 4'000;
    CHECK(decidePlacement().verdict == Verdict::Refuse);
    CHECK(decidePlacement().reason == ExclusionReason::TooLate);
    request.firstTokenTimeoutMs = 40'000;
    CHECK(decidePlacement().verdict == Verdict::Serve);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, answer already started, is continued even if it will be late")
{
    request.firstTokenTimeoutMs = 0;
    request.completionTimeoutMs = 0;
    CHECK(decidePlacement().verdict == Verdict::Refuse);
    request.answerStarted = true;
    CHECK(decidePlacement().verdict == Verdict::Serve);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, tokens too slow for the deadline at one engine, chooses the faster engine")
{
    engines[0].tokenMs = 46;
    engines[1].tokenMs = 10;
    engines[1].pendingTokens[0] = 20'000;
    request.tokensOut = 300;
    request.completionTimeoutMs = 12'000;
    CHECK(decidePlacement().index == 1);
    engines[1].tokenMs = 46;
    CHECK(decidePlacement().reason == ExclusionReason::TooLate);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement, parts cached by another engine of the data centre, are fetched instead of waited for")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 60'000;
    engines[0].fetchableTokens = 5'400;
    engines[0].fetchMs = 10;
    const Placement placement = decidePlacement();
    CHECK(placement.index == 0);
    CHECK(placement.fetches);
    CHECK(placement.keptTokens == 5'400);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, engine busy with streams, is avoided by long prompts")
{
    engines[0].running = 40;
    CHECK(decidePlacement().index == 1);
}

TEST_CASE("Fetching, part cached in a data centre, is offered only to other engines there")
{
    ServiceSpec spec;
    spec.memoryBytesPerToken = 20'000;
    spec.memoryLinkMbps = 160'000;
    std::vector<UpstreamRecord> records(3);
    records[0].address = "10.0.0.1:1";
    records[2].dataCentre = "elsewhere";
    std::vector<UpstreamCandidate> engines(3);
    std::vector<const UpstreamRecord *> views;
    for (std::uint32_t index = 0; index < engines.size(); ++index) {
        engines[index].index = index;
        views.push_back(&records[index]);
    }
    engines[0].cachedTokens = 5'000;
    CHECK(offerFetching(spec, engines, views).at("") == "10.0.0.1:1");
    CHECK(engines[0].fetchableTokens == 0);
    CHECK(engines[1].fetchableTokens == 5'000);
    CHECK(engines[1].fetchMs == doctest::Approx(10));
    CHECK(engines[2].fetchableTokens == 0);
    // Nothing can be fetched from an engine that leaves.
    engines[0].exclusionReason = ExclusionReason::Leaving;
    CHECK(offerFetching(spec, engines, views).empty());
}

TEST_CASE("Fetching, part cached at an engine of another version, is not offered")
{
    ServiceSpec spec;
    spec.memoryBytesPerToken = 20'000;
    spec.memoryLinkMbps = 160'000;
    std::vector<UpstreamRecord> records(2);
    records[0].version = "v1";
    records[1].version = "v2";
    std::vector<UpstreamCandidate> engines(2);
    engines[1].index = 1;
    engines[0].cachedTokens = 5'000;
    CHECK(offerFetching(spec, engines, { &records[0], &records[1] }).empty());
    CHECK(engines[1].fetchableTokens == 0);
}

TEST_CASE("Upstream loads, events of a stream, give the time between tokens until they expire")
{
    UpstreamLoads loads;
    UpstreamRecord engine;
    engine.id = "e";
    ServiceSpec spec;
    spec.tokensPerEvent = 7;
    const PromptFacts prompt = promptOf(100, 100, 1);
    LoadTicket ticket = loads.sent(engine, spec, prompt, {}, now);
    for (int event = 0; event < 20; ++event) {
        loads.streamed(ticket, 1, spec.tokensPerEvent, now + event * 140ms);
    }
    const SteadyTime last = now + 19 * 140ms;
    CHECK(loads.describe(engine, spec, prompt, last).tokenMs == doctest::Approx(20));
    CHECK(loads.describe(engine, spec, prompt, last + 2s).tokenMs == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, same arguments and seed, decides the same")
{
    SeededRandom one(9);
    SeededRandom two(9);
    for (int round = 0; round < 20; ++round) {
        CHECK(place(request, engines, regions, {}, one).index == place(request, engines, regions, {}, two).index);
    }
}

TEST_CASE("Prefix memory, leading parts, count up to the first missing one")
{
    PrefixMemory memory;
    memory.note(1);
    memory.note(3);
    CHECK(memory.keptTokens({ { 1, 100 }, { 2, 100 }, { 3, 100 } }, 1'000) == 100);
}

TEST_CASE("Prefix memory, parts read long ago, count as evicted")
{
    PrefixMemory memory;
    memory.note(1);
    memory.advance(1'900);
    CHECK(memory.keptTokens({ { 1, 100 } }, 1'000) == 0);
    CHECK(memory.keptTokens({ { 1, 100 } }, 10'000) == 100);
}

TEST_CASE("Prefix memory, part that is used again, returns its age and has it reset")
{
    PrefixMemory memory;
    CHECK(std::isinf(memory.note(1)));
    memory.advance(700);
    CHECK(memory.note(1) == 700);
    memory.advance(400);
    CHECK(memory.keptTokens({ { 1, 100 } }, 500) == 100);
}

TEST_CASE("Loads, requests of other daemons, count until their digests stop")
{
    UpstreamLoads ownLoads;
    UpstreamLoads peerLoads;
    UpstreamRecord engine;
    engine.id = "e";
    FleetView view;
    view.upstreams["e"] = engine;
    ownLoads.keepOnly(view);
    peerLoads.keepOnly(view);
    ServiceSpec spec;
    spec.memoryTokens = 650'000;
    const PromptFacts prompt = promptOf(5'000, 7'000, 11);
    peerLoads.sent(engine, spec, prompt, Placement{}, now);
    Wire::LoadDigestT digest;
    digest.daemon = "other";
    digest.upstreams = peerLoads.shares(now);
    digest.placed = peerLoads.takePlaced(DigestReach::OwnRegion);
    ownLoads.applyDigest(digest, now);
    const UpstreamCandidate seen = ownLoads.describe(engine, spec, promptOf(5'000, 1, 11), now + 500ms);
    CHECK(tokensAhead(seen, Urgency::Usual) == doctest::Approx(12'000).epsilon(64.0 / 12'000));
    CHECK(seen.running == 1);
    CHECK(seen.cachedTokens == 5'000);
    CHECK(ownLoads.describe(engine, spec, prompt, now + 5s).running == 0);
}

namespace {

/// Two daemons with one common engine, of which the peer sends digests to the own one.
class DigestFixture
{
public:
    DigestFixture()
    {
        engine.id = "e";
        FleetView view;
        view.upstreams["e"] = engine;
        ownLoads.keepOnly(view);
        peerLoads.keepOnly(view);
        spec.memoryTokens = 100'000;
    }

    void sendDigest()
    {
        Wire::LoadDigestT digest;
        digest.daemon = "other";
        digest.upstreams = peerLoads.shares(now);
        digest.placed = peerLoads.takePlaced(DigestReach::OwnRegion);
        ownLoads.applyDigest(digest, now);
    }

    UpstreamLoads ownLoads;
    UpstreamLoads peerLoads;
    UpstreamRecord engine;
    ServiceSpec spec;
};

} // namespace

TEST_CASE_FIXTURE(DigestFixture, "Loads, tokens read for other daemons, age the cached parts of an upstream")
{
    LoadTicket ticket = ownLoads.sent(engine, spec, promptOf(5'000, 1, 11), Placement{}, now);
    ownLoads.ended(ticket, LoadOutcome::Answered, now);
    sendDigest();
    for (unsigned own = 1; own <= 20; ++own) {
        LoadTicket other = peerLoads.sent(engine, spec, promptOf(0, 9'000 + own, 12), Placement{}, now);
        peerLoads.ended(other, LoadOutcome::Answered, now);
        sendDigest();
    }
    CHECK(ownLoads.describe(engine, spec, promptOf(5'000, 2, 11), now).cachedTokens == 0);
}

TEST_CASE_FIXTURE(DigestFixture, "Loads, daemon that restarts its counters from zero, ages nothing")
{
    peerLoads.sent(engine, spec, promptOf(0, 60'000, 12), Placement{}, now);
    sendDigest();
    ownLoads.sent(engine, spec, promptOf(5'000, 1, 11), Placement{}, now);
    peerLoads = UpstreamLoads();
    FleetView view;
    view.upstreams["e"] = engine;
    peerLoads.keepOnly(view);
    peerLoads.sent(engine, spec, promptOf(0, 100, 13), Placement{}, now);
    sendDigest();
    CHECK(ownLoads.describe(engine, spec, promptOf(5'000, 2, 11), now).cachedTokens == 5'000);
}

TEST_CASE_FIXTURE(DigestFixture, "Loads, upstream whose requests of a daemon ended, is reported idle")
{
    LoadTicket ticket = peerLoads.sent(engine, spec, promptOf(0, 9'000, 12), Placement{}, now);
    sendDigest();
    CHECK(ownLoads.describe(engine, spec, {}, now).running == 1);
    peerLoads.ended(ticket, LoadOutcome::Answered, now);
    sendDigest();
    CHECK(ownLoads.describe(engine, spec, {}, now).running == 0);
}

TEST_CASE("Loads, first token and end of a request, remove its load")
{
    UpstreamLoads loads;
    UpstreamRecord engine;
    engine.id = "e";
    const ServiceSpec spec;
    const PromptFacts prompt = promptOf(5'000, 7'000, 11);
    LoadTicket ticket = loads.sent(engine, spec, prompt, Placement{}, now);
    loads.firstToken(ticket, now + 100ms);
    CHECK(tokensAhead(loads.describe(engine, spec, prompt, now + 100ms), Urgency::Late) == 0);
    CHECK(loads.describe(engine, spec, prompt, now + 100ms).running == 1);
    loads.ended(ticket, LoadOutcome::Answered, now + 200ms);
    CHECK(loads.describe(engine, spec, prompt, now + 200ms).running == 0);
}

TEST_CASE("Loads, silent upstream with requests in progress, is excluded until it sends something")
{
    UpstreamLoads loads;
    UpstreamRecord engine;
    engine.id = "e";
    const ServiceSpec spec;
    const PromptFacts prompt = promptOf(100, 100, 1);
    loads.sent(engine, spec, prompt, Placement{}, now);
    CHECK(loads.describe(engine, spec, prompt, now + 500ms).exclusionReason == ExclusionReason::None);
    CHECK(loads.describe(engine, spec, prompt, now + 700ms).exclusionReason == ExclusionReason::Unhealthy);
    loads.heard("e", now + 800ms);
    CHECK(loads.describe(engine, spec, prompt, now + 900ms).exclusionReason == ExclusionReason::None);
}

TEST_CASE("Loads, consecutive failures, exclude the upstream for a while")
{
    UpstreamLoads loads;
    UpstreamRecord engine;
    engine.id = "e";
    const ServiceSpec spec;
    loads.connectFailed("e", now);
    CHECK(loads.describe(engine, spec, {}, now + 10ms).exclusionReason == ExclusionReason::None);
    loads.connectFailed("e", now);
    CHECK(loads.describe(engine, spec, {}, now + 10ms).exclusionReason == ExclusionReason::Unhealthy);
    CHECK(loads.describe(engine, spec, {}, now + 5s).exclusionReason == ExclusionReason::None);
}

TEST_CASE("Loads, failure share, decays while nothing is sent")
{
    UpstreamLoads loads;
    UpstreamRecord upstream;
    upstream.id = "u1";
    const ServiceSpec spec;
    loads.connectFailed("u1", now);
    const double fresh = loads.describe(upstream, spec, {}, now).failureShare;
    CHECK(fresh > 0.1);
    CHECK(loads.describe(upstream, spec, {}, now + 3s).failureShare == doctest::Approx(fresh / 2));
    CHECK(loads.describe(upstream, spec, {}, now + 30s).failureShare < 0.001);
}
