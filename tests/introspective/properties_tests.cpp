// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Properties over random inputs. CI fixes the seed through RC_PARAMS; without it each run takes a new seed and prints it on
// failure.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/dispatch/token_stream.h"
#include "portpaddle/entry/chat_request.h"
#include "portpaddle/membership/gossip_message.h"
#include "portpaddle/membership/member_list.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/settings/checker.h"
#include "support/recording_sink.h"
#include "support/settings_text.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Portpaddle;

namespace {

const std::vector<std::string> regions{ "north", "south", "west" };

std::shared_ptr<const CompiledSettings> settingsWith(const std::vector<std::string> &residency, unsigned hopLimit,
                                                     bool deferrable)
{
    nlohmann::json json = { { "/", { { "hop_limit", hopLimit }, { "class", deferrable ? "deferrable" : "interactive" } } },
                            { "/services/m", nlohmann::json::object() } };
    for (const std::string &region : regions) {
        json["/regions/" + region] = nlohmann::json::object();
        json["/regions/" + region + "/data_centres/" + region.substr(0, 1) + "1"] = nlohmann::json::object();
    }
    json["/organisations/o"] = { { "residency", residency } };
    return compiledFrom(json.dump());
}

std::shared_ptr<RoutingSnapshot> randomSnapshot()
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    const std::vector<std::string> residency = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(regions));
    snapshot->settings = settingsWith(residency, *rc::gen::inRange(0U, 4U), *rc::gen::arbitrary<bool>());
    snapshot->localDaemons = *rc::gen::inRange(1U, 30U);
    const auto engines = *rc::gen::inRange<std::uint32_t>(0, 12);
    for (std::uint32_t index = 0; index < engines; ++index) {
        UpstreamView view;
        view.id = "e" + std::to_string(index);
        view.idHash = index * 7919;
        view.slots = *rc::gen::inRange(1U, 64U);
        view.load.running = *rc::gen::inRange(0U, 80U);
        view.load.queuedInteractive = *rc::gen::inRange(0U, 10U);
        view.leaving = static_cast<LeavingSignal>(*rc::gen::inRange(0, 4));
        view.healthy = *rc::gen::arbitrary<bool>();
        snapshot->routes["m"].local.push_back(ServiceCandidate{ index, "" });
        snapshot->upstreams.push_back(view);
    }
    for (const std::string &region : regions) {
        RemoteView view;
        view.region = region;
        view.dataCentre = region.substr(0, 1) + "1";
        view.capacity = *rc::gen::inRange(0U, 200U);
        view.busy = *rc::gen::inRange(0U, 200U);
        view.versions = { "" };
        view.reachable = *rc::gen::arbitrary<bool>();
        view.observedAt = Millis{ *rc::gen::inRange(0, 100'000) };
        view.slot = static_cast<std::uint32_t>(snapshot->routes["m"].remote.size());
        if (region != "north") {
            snapshot->routes["m"].remote.push_back(view);
        }
    }
    return snapshot;
}

MemberUpdate randomUpdate(const std::string &id)
{
    MemberUpdate update;
    update.id = id;
    update.dataCentre = "d";
    update.incarnation = *rc::gen::inRange<std::uint64_t>(0, 6);
    update.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
    return update;
}

} // namespace

TEST_CASE("Property, any snapshot, decision never chooses what residency, health, leaving or the path excludes")
{
    CHECK(rc::check([] {
        const std::shared_ptr<RoutingSnapshot> snapshot = randomSnapshot();
        RequestFacts facts;
        facts.organisation = "o";
        facts.service = "m";
        facts.promptTokens = *rc::gen::inRange(0U, 20'000U);
        facts.arrivedAt = Millis{ 50'000 };
        facts.visited = *rc::gen::container<std::vector<std::string>>(rc::gen::element(std::string("s1"), std::string("w1")));
        SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
        const Decision decision = decide(snapshot, facts, OwnDispatches{}, Millis{ 100'000 }, random);
        const RequestPolicy &policy = snapshot->settings->policy("o", "m");
        if (decision.verdict == Verdict::Serve) {
            const UpstreamView &view = snapshot->upstreams.at(decision.target);
            RC_ASSERT(policy.allowsRegion("north"));
            RC_ASSERT((view.healthy && view.leaving == LeavingSignal::None));
        }
        if (decision.verdict == Verdict::Forward) {
            const RemoteView &view = snapshot->routesOf("m").remote.at(decision.target);
            RC_ASSERT((policy.allowsRegion("north") && policy.allowsRegion(view.region)));
            RC_ASSERT((view.reachable && view.capacity > 0));
            RC_ASSERT(facts.visited.size() < policy.hopLimit);
            RC_ASSERT(std::find(facts.visited.begin(), facts.visited.end(), view.dataCentre) == facts.visited.end());
        }
        const auto chosen
            = std::count_if(decision.candidates.begin(), decision.candidates.end(),
                            [](const CandidateOutcome &outcome) { return outcome.reason == ExclusionReason::None; });
        const bool goes = decision.verdict == Verdict::Serve || decision.verdict == Verdict::Forward;
        RC_ASSERT((!goes || chosen == 1));
    }));
}

TEST_CASE("Property, same snapshot and seed, the decision is the same")
{
    CHECK(rc::check([] {
        const std::shared_ptr<RoutingSnapshot> snapshot = randomSnapshot();
        RequestFacts facts;
        facts.organisation = "o";
        facts.service = "m";
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        SeededRandom first(seed);
        SeededRandom second(seed);
        const Decision left = decide(snapshot, facts, OwnDispatches{}, Millis{ 100'000 }, first);
        const Decision right = decide(snapshot, facts, OwnDispatches{}, Millis{ 100'000 }, second);
        RC_ASSERT(left.verdict == right.verdict);
        RC_ASSERT(left.target == right.target);
    }));
}

TEST_CASE("Property, updates about a member in any order, all lists converge to the same state")
{
    CHECK(rc::check([] {
        std::vector<MemberUpdate> updates;
        const auto count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index) {
            updates.push_back(randomUpdate("x"));
        }
        MemberUpdate self = randomUpdate("self");
        MemberList forward(self, Millis{ 1 });
        MemberList backward(self, Millis{ 1 });
        for (const MemberUpdate &update : updates) {
            forward.apply(update, Millis{ 2 });
        }
        std::reverse(updates.begin(), updates.end());
        for (const MemberUpdate &update : updates) {
            backward.apply(update, Millis{ 2 });
        }
        if (!updates.empty()) {
            RC_ASSERT(forward.find("x")->update.state == backward.find("x")->update.state);
            RC_ASSERT(forward.find("x")->update.incarnation == backward.find("x")->update.incarnation);
        }
    }));
}

TEST_CASE("Property, stream split anywhere, only complete events pass and the text is unchanged")
{
    CHECK(rc::check([] {
        std::string all;
        const auto tokens = *rc::gen::inRange(0, 20);
        for (int token = 0; token < tokens; ++token) {
            all += tokenEvent("t" + std::to_string(token));
        }
        all += closingEvent;
        RecordingSink sink;
        TokenStream stream(sink);
        for (std::size_t at = 0; at < all.size();) {
            const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
            stream.data(std::string_view(all).substr(at, size));
            at += size;
        }
        RC_ASSERT(sink.text() == all);
        RC_ASSERT(stream.tokens() == static_cast<unsigned>(tokens));
        RC_ASSERT(stream.finished());
    }));
}

TEST_CASE("Property, arbitrary bytes, no parser of a listener accepts them or crashes")
{
    CHECK(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!decodeGossip(bytes, "cluster-key", Millis{ 1 }).has_value());
        const Result<ChatRequest> chat = parseChatRequest(bytes);
        RC_ASSERT(!isOk(chat));
        const Result<SettingsPatch> patch = parseSettings(bytes, "random");
        RC_ASSERT((!isOk(patch) || valueOf(patch).empty()));
    }));
}

TEST_CASE("Property, any two trees, the difference turns one into the other and back")
{
    CHECK(rc::check([] {
        const auto tree = [] {
            nlohmann::json json = nlohmann::json::object();
            const auto paths = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
            for (const int path : paths) {
                nlohmann::json node = nlohmann::json::object();
                const auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
                for (const int key : keys) {
                    node["key" + std::to_string(key)] = *rc::gen::inRange(0, 3);
                }
                json["/organisations/o" + std::to_string(path)] = node;
            }
            return SettingsTree().with(patchFromJson(json), 1);
        };
        const SettingsTree left = tree();
        const SettingsTree right = tree();
        RC_ASSERT(left.with(left.differenceTo(right), 2).differenceTo(right).empty());
        RC_ASSERT(right.with(right.differenceTo(left), 2).differenceTo(left).empty());
    }));
}
