// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Bounds on deterministic costs: allocations, bytes and calls to the platform. Only benchmarks measure time.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/claims/claim_store.h"
#include "portpaddle/membership/gossip_message.h"
#include "portpaddle/platform/memory_platform.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/settings/settings_log.h"
#include "support/manual_clock.h"
#include "support/settings_text.h"

#include <cstdlib>
#include <new>

#include <doctest/doctest.h>

namespace {

thread_local std::size_t allocations = 0;

} // namespace

// These operators replace the allocator of the whole test program; each thread counts its own allocations.
void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace Portpaddle;

namespace {

std::size_t allocationsOfDecision(std::uint32_t engines)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->settings = compiledFrom(R"({"/services/m": {}, "/organisations/o": {}})");
    for (std::uint32_t index = 0; index < engines; ++index) {
        UpstreamView view;
        view.id = "e" + std::to_string(index);
        view.idHash = stableHash(view.id);
        view.slots = 8;
        snapshot->routes["m"].local.push_back(ServiceCandidate{ index, "" });
        snapshot->upstreams.push_back(view);
    }
    RequestFacts facts;
    facts.organisation = "o";
    facts.service = "m";
    SeededRandom random(1);
    const std::vector<std::uint32_t> own(engines, 0);
    const std::size_t before = allocations;
    const Decision decision = decide(snapshot, facts, OwnDispatches{ own, {} }, Millis{ 1'000 }, random);
    CHECK(decision.verdict == Verdict::Serve);
    return allocations - before;
}

GossipMessage messageWith(std::size_t digests)
{
    GossipMessage message;
    message.kind = GossipKind::Ping;
    message.sender = "vm-00-000";
    message.target = "vm-00-001";
    for (std::size_t index = 0; index < digests; ++index) {
        message.upstreams.push_back(
            UpstreamDigest{ shortKey("e" + std::to_string(index)), 1, Millis{ 0 }, 1, 2, 3, false, true });
    }
    return message;
}

std::size_t encodedSize(const GossipMessage &message)
{
    return encodeGossip(message, "cluster-key", Millis{ 0 }).size();
}

} // namespace

TEST_CASE("Cost, one decision, allocates no more with 300 engines than with 12")
{
    const std::size_t few = allocationsOfDecision(12);
    CHECK(few <= 3);
    CHECK(allocationsOfDecision(300) == few);
}

TEST_CASE("Cost, gossip, empty probe and each digest stay within their size bounds")
{
    CHECK(encodedSize(messageWith(0)) <= 120);
    CHECK(encodedSize(messageWith(40)) - encodedSize(messageWith(20)) == 20 * 24);
}

TEST_CASE("Cost, claims, take one write each and one lease per hour")
{
    ManualClock clock;
    MemoryPlatform platform(clock);
    SeededRandom random(1);
    ClaimStore store(platform, clock, random, "d");
    for (int index = 0; index < 100; ++index) {
        const Result<Claim> claim = store.acquire("o", "s", "key-" + std::to_string(index));
        REQUIRE(isOk(claim));
        store.markRan(valueOf(claim));
    }
    CHECK(platform.calls().writes == 101);
    CHECK(platform.calls().reads == 0);
}

TEST_CASE("Cost, accepted change, takes one write and one read, and hundreds of bytes for a tree of any size")
{
    ManualClock clock;
    MemoryPlatform platform(clock);
    SettingsLog log(platform, clock);
    nlohmann::json large = { { "/", { { "latency_weight", 2 } } } };
    for (int index = 0; index < 260; ++index) {
        large["/organisations/organisation-" + std::to_string(index)] = { { "max_requests_per_second", 50 } };
    }
    ChangeProposal first;
    first.changeId = "first";
    first.patch = patchFromJson(large);
    REQUIRE(isOk(log.propose(first)));
    const SettingsTree known = valueOf(log.catchUp({}));
    const PlatformCalls before = platform.calls();
    ChangeProposal second;
    second.changeId = "second";
    second.patch = { PatchEntry{ "/organisations/organisation-7", "max_requests_per_second", 60 } };
    const Result<SettingsChange> accepted = log.propose(second, known);
    REQUIRE(isOk(accepted));
    CHECK(platform.calls().writes - before.writes == 1);
    CHECK(platform.calls().reads - before.reads == 1);
    CHECK(changeToText(valueOf(accepted)).size() <= 320);
}
