// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The routing decision, tested as a pure function of snapshot and request.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/routing/rendezvous.h"
#include "support/settings_text.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

const std::string settingsText = R"({
  "/": {},
  "/regions/north": {"link_ms": {"south": 30, "west": 60}},
  "/regions/north/data_centres/n1": {},
  "/regions/south": {}, "/regions/south/data_centres/s1": {},
  "/regions/west": {}, "/regions/west/data_centres/w1": {},
  "/services/m": {"kind": "model"},
  "/services/later": {"kind": "model", "class": "deferrable"},
  "/organisations/free": {},
  "/organisations/home": {"residency": ["north"]},
  "/organisations/abroad": {"residency": ["south"]},
  "/organisations/pinned": {"version": "2"},
  "/organisations/short": {"hop_limit": 0}
})";

class DecisionFixture
{
public:
    DecisionFixture()
    {
        snapshot->settings = compiledFrom(settingsText);
        facts.requestId = "r";
        facts.organisation = "free";
        facts.service = "m";
        facts.promptTokens = 20;
        facts.arrivedAt = facts.deadline = now;
        facts.deadline += Millis{ 60'000 };
    }

    UpstreamView &addEngine(const std::string &id, unsigned running, const std::string &version = "1")
    {
        UpstreamView view;
        view.id = id;
        view.idHash = stableHash(id);
        view.slots = 8;
        view.load.running = running;
        view.observedAt = now;
        const auto index = static_cast<std::uint32_t>(snapshot->upstreams.size());
        for (const char *service : { "m", "later" }) {
            snapshot->routes[service].local.push_back(ServiceCandidate{ index, version });
        }
        snapshot->upstreams.push_back(view);
        return snapshot->upstreams.back();
    }

    RemoteView &addRemote(const std::string &dataCentre, const std::string &region, unsigned capacity, unsigned busy)
    {
        std::vector<RemoteView> &remotes = snapshot->routes["m"].remote;
        RemoteView view;
        view.dataCentre = dataCentre;
        view.region = region;
        view.capacity = capacity;
        view.busy = busy;
        view.versions = { "1" };
        view.observedAt = now;
        view.reachable = true;
        view.slot = static_cast<std::uint32_t>(remotes.size());
        remotes.push_back(view);
        return remotes.back();
    }

    Decision run(std::vector<std::uint32_t> ownLocal = {}, std::vector<std::uint32_t> ownRemote = {})
    {
        return decide(snapshot, facts, OwnDispatches{ ownLocal, ownRemote }, now, random);
    }

    ExclusionReason reasonOf(const Decision &decision, std::uint32_t index, bool remote)
    {
        const auto found
            = std::find_if(decision.candidates.begin(), decision.candidates.end(),
                           [&](const CandidateOutcome &outcome) { return outcome.index == index && outcome.remote == remote; });
        REQUIRE(found != decision.candidates.end());
        return found->reason;
    }

    Millis now{ 1'000'000 };
    SeededRandom random{ 7 };
    std::shared_ptr<RoutingSnapshot> snapshot = std::make_shared<RoutingSnapshot>();
    RequestFacts facts;
};

} // namespace

TEST_CASE_FIXTURE(DecisionFixture, "Decision, one engine busy and one free, serves on the free one")
{
    addEngine("e1", 8);
    addEngine("e2", 0);
    const Decision decision = run();
    CHECK(decision.verdict == Verdict::Serve);
    CHECK(decision.target == 1);
    CHECK(decision.candidates.size() == 2);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, engine marked as leaving by any signal, is not chosen")
{
    for (const LeavingSignal signal : { LeavingSignal::Settings, LeavingSignal::OwnReport, LeavingSignal::VmList }) {
        snapshot->upstreams.clear();
        snapshot->routes.clear();
        addEngine("e1", 0).leaving = signal;
        addEngine("e2", 7);
        const Decision decision = run();
        CHECK(decision.target == 1);
        CHECK(reasonOf(decision, 0, false) == ExclusionReason::Leaving);
    }
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, engine ejected, already tried or of another version, is excluded with the reason")
{
    addEngine("e1", 0).healthy = false;
    addEngine("e2", 0);
    addEngine("e3", 0, "2");
    facts.tried = { "e2" };
    const Decision decision = run();
    CHECK(decision.target == 2);
    CHECK(reasonOf(decision, 0, false) == ExclusionReason::Unhealthy);
    CHECK(reasonOf(decision, 1, false) == ExclusionReason::AlreadyTried);
    facts.organisation = "pinned";
    facts.tried.clear();
    const Decision pinned = run();
    CHECK(pinned.target == 2);
    CHECK(reasonOf(pinned, 1, false) == ExclusionReason::VersionAbsent);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, long shared prefix, is routed to the same engine until that engine is loaded")
{
    for (int index = 0; index < 6; ++index) {
        addEngine("e" + std::to_string(index), 1);
    }
    facts.promptTokens = 8'000;
    facts.prefixHash = stableHash("a shop's history");
    const std::uint32_t home = run().target;
    for (int repeat = 0; repeat < 20; ++repeat) {
        CHECK(run().target == home);
    }
    snapshot->upstreams[home].load.running = 9;
    CHECK(run().target != home);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, own requests since the report, count as load")
{
    addEngine("e1", 0);
    addEngine("e2", 0);
    CHECK(run({ 8, 0 }).target == 1);
    CHECK(run({ 0, 8 }).target == 0);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, region forbidden for the request, is refused without a choice")
{
    addEngine("e1", 0);
    facts.organisation = "abroad";
    const Decision decision = run();
    CHECK(decision.verdict == Verdict::Refuse);
    CHECK(decision.refusal == ErrorCode::ResidencyForbids);
}

TEST_CASE_FIXTURE(DecisionFixture,
                  "Decision, request bound to its region with full engines, is queued locally and never forwarded")
{
    addEngine("e1", 20);
    addRemote("s1", "south", 100, 0);
    facts.organisation = "home";
    const Decision decision = run();
    CHECK(decision.verdict != Verdict::Forward);
    CHECK(reasonOf(decision, 0, true) == ExclusionReason::ResidencyForbids);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, own engines full, forwards to the nearest region with free capacity")
{
    addEngine("e1", 20);
    addRemote("w1", "west", 100, 0);
    addRemote("s1", "south", 100, 0);
    const Decision decision = run();
    CHECK(decision.verdict == Verdict::Forward);
    CHECK(decision.target == 1);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, place visited before, is never chosen again")
{
    addEngine("e1", 20);
    addRemote("s1", "south", 100, 0);
    facts.visited = { "s1" };
    const Decision decision = run();
    CHECK(decision.verdict != Verdict::Forward);
    CHECK(reasonOf(decision, 0, true) == ExclusionReason::AlreadyVisited);
    facts.visited.clear();
    facts.organisation = "short";
    CHECK(reasonOf(run(), 0, true) == ExclusionReason::HopLimit);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, free engine in the own region, is preferred over a less loaded region")
{
    addEngine("e1", 3);
    addRemote("s1", "south", 100, 0);
    const Decision decision = run();
    CHECK(decision.verdict == Verdict::Serve);
    CHECK(reasonOf(decision, 0, true) == ExclusionReason::MarginNotReached);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, many daemons with the same summary, together forward about the free capacity")
{
    addEngine("e1", 20);
    addRemote("s1", "south", 20, 10);
    snapshot->localDaemons = 27;
    unsigned sent = 0;
    constexpr unsigned rounds = 40;
    for (unsigned round = 0; round < rounds; ++round) {
        for (unsigned daemon = 0; daemon < 27; ++daemon) {
            sent += run().verdict == Verdict::Forward ? 1 : 0;
        }
    }
    CHECK(sent <= 10 * rounds * 1.2);
    CHECK(sent >= 10 * rounds * 0.8);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, stale summary or unreachable region, is not used")
{
    addEngine("e1", 20);
    addRemote("s1", "south", 100, 0).observedAt = now - Millis{ 60'000 };
    addRemote("w1", "west", 100, 0).reachable = false;
    const Decision decision = run();
    CHECK(decision.verdict != Verdict::Forward);
    CHECK(reasonOf(decision, 0, true) == ExclusionReason::Stale);
    CHECK(reasonOf(decision, 1, true) == ExclusionReason::Unreachable);
}

TEST_CASE_FIXTURE(DecisionFixture,
                  "Decision, all engines full, interactive request is refused with a retry time and deferrable one is queued")
{
    addEngine("e1", 40);
    const Decision refused = run();
    CHECK(refused.verdict == Verdict::Refuse);
    CHECK(refused.refusal == ErrorCode::Overloaded);
    CHECK(refused.retryAfter.has_value());
    facts.service = "later";
    CHECK(run().verdict == Verdict::Wait);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, deferrable request, leaves the reserve for interactive requests until it has aged")
{
    addEngine("e1", 7);
    facts.service = "later";
    CHECK(run().verdict == Verdict::Wait);
    facts.arrivedAt = now - deferrableAging;
    CHECK(run().verdict == Verdict::Serve);
    facts.arrivedAt = now;
    facts.service = "m";
    CHECK(run().verdict == Verdict::Serve);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, warming engine, is used up to a share of its slots")
{
    addEngine("e1", 1).admitted = 0.1;
    addEngine("e2", 4);
    CHECK(run().target == 1);
}

TEST_CASE("Rendezvous, member removed or weight changed, moves only keys of that member")
{
    std::vector<std::uint64_t> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back(stableHash("engine-" + std::to_string(index)));
    }
    const auto winner = [](std::uint64_t key, const std::vector<std::uint64_t> &list, double firstWeight) {
        std::size_t best = 0;
        for (std::size_t index = 1; index < list.size(); ++index) {
            const auto weight = [&](std::size_t at) { return at == 0 ? firstWeight : 1.0; };
            if (rendezvousScore(key, list[index], weight(index)) > rendezvousScore(key, list[best], weight(best))) {
                best = index;
            }
        }
        return list[best];
    };
    const std::vector<std::uint64_t> fewer(members.begin(), members.end() - 1);
    std::set<std::uint64_t> used;
    for (std::uint64_t key = 0; key < 2'000; ++key) {
        const std::uint64_t before = winner(key, members, 1);
        used.insert(before);
        CHECK((before == members.back() || winner(key, fewer, 1) == before));
        const std::uint64_t heavier = winner(key, members, 2);
        CHECK((heavier == before || heavier == members.front()));
    }
    CHECK(used.size() == members.size());
}

TEST_CASE_FIXTURE(DecisionFixture,
                  "Decision, deferrable request with full prefix holder, is queued for the holder instead of prefilled elsewhere")
{
    for (int index = 0; index < 4; ++index) {
        addEngine("e" + std::to_string(index), 0);
    }
    facts.service = "later";
    facts.promptTokens = 8'000;
    facts.prefixHash = stableHash("a shop's history");
    const std::uint32_t holder = run().target;
    snapshot->upstreams[holder].load.running = 6;
    CHECK(run().verdict == Verdict::Wait);
    facts.arrivedAt = now - deferrableAging;
    CHECK(run().verdict == Verdict::Serve);
    facts.arrivedAt = now;
    snapshot->upstreams[holder].load.running = 16;
    const Decision elsewhere = run();
    CHECK(elsewhere.verdict == Verdict::Serve);
    CHECK(elsewhere.target != holder);
}

TEST_CASE_FIXTURE(DecisionFixture,
                  "Decision, daemons of one data centre with the same report, together do not exceed the reserve")
{
    addEngine("e1", 4);
    facts.service = "later";
    snapshot->localDaemons = 10;
    unsigned sent = 0;
    constexpr unsigned rounds = 100;
    for (unsigned round = 0; round < rounds; ++round) {
        for (unsigned daemon = 0; daemon < 10; ++daemon) {
            sent += run().verdict == Verdict::Serve ? 1 : 0;
        }
    }
    CHECK(sent <= 2 * rounds * 1.2);
    CHECK(sent >= 2 * rounds * 0.8);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, own region lost and share of the other region used up, waits for the next summary")
{
    addEngine("e1", 0).leaving = LeavingSignal::OwnReport;
    addRemote("s1", "south", 100, 99);
    CHECK(run({}, { 5 }).verdict == Verdict::Wait);
}

TEST_CASE_FIXTURE(DecisionFixture, "Decision, idle engine with few slots, is not treated as busy")
{
    addEngine("e1", 0).slots = 2;
    addRemote("s1", "south", 100, 0);
    const Decision decision = run();
    CHECK(decision.verdict == Verdict::Serve);
    CHECK(decision.candidates[0].waitMs < snapshot->settings->policy("free", "m").awayMarginMs);
}
