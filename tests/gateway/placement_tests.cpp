// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Where a request goes: the pure choice, and what it is told of load and memory.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/gateway/fetch_offers.h"
#include "portpaddle/gateway/placement.h"
#include "portpaddle/gateway/prefix_memory.h"
#include "portpaddle/gateway/upstream_loads.h"

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
        away.tokensPerMs = 100;
        away.distanceMs = 115;
    }

    Placement placed()
    {
        return place(request, engines, regions, PlacementWeights{}, random);
    }

    std::vector<UpstreamCandidate> engines;
    std::vector<RegionCandidate> regions;
    RegionCandidate away;
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

TEST_CASE_FIXTURE(PlacementFixture, "Placement, prompt partly kept by one engine, goes there despite a short queue")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 10'000;
    CHECK(placed().index == 1);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, queue that would miss the target, outweighs kept parts")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 150'000;
    CHECK(placed().index == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, tokens of less urgent requests, do not delay an urgent one")
{
    engines[0].pendingTokens = { 0, 50'000, 50'000 };
    engines[1].pendingTokens = { 20'000, 0, 0 };
    request.urgency = Urgency::Urgent;
    CHECK(placed().index == 0);
    request.urgency = Urgency::Late;
    CHECK(placed().index == 1);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, target missed everywhere, makes the request late")
{
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[1] = 400'000;
    }
    CHECK(placed().verdict == Verdict::Serve);
    CHECK(placed().urgency == Urgency::Late);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, own region overloaded, sends away")
{
    regions.push_back(away);
    CHECK(placed().verdict == Verdict::Serve);
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[1] = 200'000;
    }
    CHECK(placed().verdict == Verdict::Forward);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, all barred, refuses with the reason")
{
    for (UpstreamCandidate &engine : engines) {
        engine.exclusionReason = ExclusionReason::ShareSpent;
    }
    CHECK(placed().verdict == Verdict::Refuse);
    CHECK(placed().reason == ExclusionReason::ShareSpent);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, first token later than its caller waits, refuses")
{
    for (UpstreamCandidate &engine : engines) {
        engine.pendingTokens[0] = 500'000;
    }
    request.firstTokenTimeoutMs = 4'000;
    CHECK(placed().verdict == Verdict::Refuse);
    CHECK(placed().reason == ExclusionReason::TooLate);
    request.firstTokenTimeoutMs = 40'000;
    CHECK(placed().verdict == Verdict::Serve);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, answer begun, is continued even where it will be late")
{
    request.firstTokenTimeoutMs = 0;
    request.completionTimeoutMs = 0;
    CHECK(placed().verdict == Verdict::Refuse);
    request.answerStarted = true;
    CHECK(placed().verdict == Verdict::Serve);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, tokens too slow for the deadline, takes the engine where they are faster")
{
    engines[0].tokenMs = 46;
    engines[1].tokenMs = 10;
    engines[1].pendingTokens[0] = 20'000;
    request.tokensOut = 300;
    request.completionTimeoutMs = 12'000;
    CHECK(placed().index == 1);
    engines[1].tokenMs = 46;
    CHECK(placed().reason == ExclusionReason::TooLate);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement, parts kept by another engine of the data centre, are fetched instead of waited for")
{
    engines[1].cachedTokens = 5'400;
    engines[1].pendingTokens[1] = 60'000;
    engines[0].fetchableTokens = 5'400;
    engines[0].fetchMs = 10;
    const Placement placement = placed();
    CHECK(placement.index == 0);
    CHECK(placement.fetches);
    CHECK(placement.keptTokens == 5'400);
}

TEST_CASE_FIXTURE(PlacementFixture, "Placement, engine busy with streams, gets long prompts last")
{
    engines[0].running = 40;
    CHECK(placed().index == 1);
}

TEST_CASE("Fetching, part kept in the data centre, is offered to the others there only")
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
    // An engine that is gone has nothing to give.
    engines[0].exclusionReason = ExclusionReason::Leaving;
    CHECK(offerFetching(spec, engines, views).empty());
}

TEST_CASE("Urgency, more ranks than classes, makes the last ones patient")
{
    CHECK(urgencyOfRank(0) == Urgency::Urgent);
    CHECK(urgencyOfRank(1) == Urgency::Usual);
    CHECK(urgencyOfRank(2) == Urgency::Patient);
    CHECK(urgencyOfRank(7) == Urgency::Patient);
}

TEST_CASE("Upstream loads, events of a stream, show the time between tokens until they are old")
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

TEST_CASE("Prefix memory, leading parts, count until one is missing")
{
    PrefixMemory memory;
    memory.note(1);
    memory.note(3);
    CHECK(memory.keptTokens({ { 1, 100 }, { 2, 100 }, { 3, 100 } }, 1'000) == 100);
}

TEST_CASE("Prefix memory, parts read long ago, are taken as evicted")
{
    PrefixMemory memory;
    memory.note(1);
    memory.advance(1'900);
    CHECK(memory.keptTokens({ { 1, 100 } }, 1'000) == 0);
    CHECK(memory.keptTokens({ { 1, 100 } }, 10'000) == 100);
}

TEST_CASE("Prefix memory, part that is used again, tells its age and is young again")
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
    UpstreamLoads mine;
    UpstreamLoads theirs;
    UpstreamRecord engine;
    engine.id = "e";
    FleetView view;
    view.upstreams["e"] = engine;
    mine.keepOnly(view);
    theirs.keepOnly(view);
    ServiceSpec spec;
    spec.memoryTokens = 650'000;
    const PromptFacts prompt = promptOf(5'000, 7'000, 11);
    theirs.sent(engine, spec, prompt, Placement{}, now);
    Wire::LoadDigestT digest;
    digest.daemon = "other";
    digest.upstreams = theirs.shares(now);
    digest.placed = theirs.takePlaced(DigestReach::OwnRegion);
    mine.applyDigest(digest, now);
    const UpstreamCandidate seen = mine.describe(engine, spec, promptOf(5'000, 1, 11), now + 500ms);
    CHECK(tokensAhead(seen, Urgency::Usual) == doctest::Approx(12'000).epsilon(64.0 / 12'000));
    CHECK(seen.running == 1);
    CHECK(seen.cachedTokens == 5'000);
    CHECK(mine.describe(engine, spec, prompt, now + 5s).running == 0);
}

namespace {

/// Two daemons that know one engine and tell each other.
class DigestFixture
{
public:
    DigestFixture()
    {
        engine.id = "e";
        FleetView view;
        view.upstreams["e"] = engine;
        mine.keepOnly(view);
        theirs.keepOnly(view);
        spec.memoryTokens = 100'000;
    }

    void tell()
    {
        Wire::LoadDigestT digest;
        digest.daemon = "other";
        digest.upstreams = theirs.shares(now);
        digest.placed = theirs.takePlaced(DigestReach::OwnRegion);
        mine.applyDigest(digest, now);
    }

    UpstreamLoads mine;
    UpstreamLoads theirs;
    UpstreamRecord engine;
    ServiceSpec spec;
};

} // namespace

TEST_CASE_FIXTURE(DigestFixture, "Loads, tokens that other daemons had read, age the parts that an upstream keeps")
{
    LoadTicket ticket = mine.sent(engine, spec, promptOf(5'000, 1, 11), Placement{}, now);
    mine.ended(ticket, LoadOutcome::Answered, now);
    tell();
    for (unsigned own = 1; own <= 20; ++own) {
        LoadTicket other = theirs.sent(engine, spec, promptOf(0, 9'000 + own, 12), Placement{}, now);
        theirs.ended(other, LoadOutcome::Answered, now);
        tell();
    }
    CHECK(mine.describe(engine, spec, promptOf(5'000, 2, 11), now).cachedTokens == 0);
}

TEST_CASE_FIXTURE(DigestFixture, "Loads, daemon that starts anew and counts from zero, ages nothing")
{
    theirs.sent(engine, spec, promptOf(0, 60'000, 12), Placement{}, now);
    tell();
    mine.sent(engine, spec, promptOf(5'000, 1, 11), Placement{}, now);
    theirs = UpstreamLoads();
    FleetView view;
    view.upstreams["e"] = engine;
    theirs.keepOnly(view);
    theirs.sent(engine, spec, promptOf(0, 100, 13), Placement{}, now);
    tell();
    CHECK(mine.describe(engine, spec, promptOf(5'000, 2, 11), now).cachedTokens == 5'000);
}

TEST_CASE_FIXTURE(DigestFixture, "Loads, upstream that a daemon's requests left, is told idle")
{
    LoadTicket ticket = theirs.sent(engine, spec, promptOf(0, 9'000, 12), Placement{}, now);
    tell();
    CHECK(mine.describe(engine, spec, {}, now).running == 1);
    theirs.ended(ticket, LoadOutcome::Answered, now);
    tell();
    CHECK(mine.describe(engine, spec, {}, now).running == 0);
}

TEST_CASE_FIXTURE(DigestFixture, "Loads, first tokens later than predicted, make an upstream slow and in time ones fast again")
{
    Placement placement;
    placement.predictedMs = 100;
    std::uint64_t topic = 100;
    const auto answerAfter = [&](std::chrono::milliseconds took) {
        LoadTicket ticket = mine.sent(engine, spec, promptOf(0, 9'000, ++topic), placement, now);
        mine.firstToken(ticket, now + took);
        mine.ended(ticket, LoadOutcome::Answered, now + took);
    };
    for (int round = 0; round < 30; ++round) {
        answerAfter(400ms);
    }
    CHECK(mine.describe(engine, spec, {}, now).slowness > 3);
    for (int round = 0; round < 60; ++round) {
        answerAfter(50ms);
    }
    CHECK(mine.describe(engine, spec, {}, now).slowness < 1);
}

TEST_CASE("Loads, first token and end of a request, take its share away")
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

TEST_CASE("Loads, upstream that owes answers and sends nothing, is avoided until it is heard")
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

TEST_CASE("Loads, failures in a row, keep new requests away for a while")
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

TEST_CASE("Loads, failure share, fades where nothing more is sent there")
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
