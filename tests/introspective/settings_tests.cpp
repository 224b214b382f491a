// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Settings: inheritance, validation, and the log with concurrent writers and lost replies.

#include "portpaddle/control/settings_controller.h"
#include "portpaddle/platform/memory_platform.h"
#include "portpaddle/routing/blackboard.h"
#include "portpaddle/settings/checker.h"
#include "portpaddle/settings/schema.h"
#include "portpaddle/settings/settings_log.h"
#include "support/manual_clock.h"
#include "support/settings_text.h"

#include <algorithm>
#include <thread>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

const std::string smallTree = R"({
  "/": {"latency_weight": 2},
  "/regions/north": {"link_ms": {"south": 40}},
  "/regions/north/data_centres/n1": {},
  "/regions/north/data_centres/n1/upstreams/e1": {"address": "127.0.0.1:1000", "services": ["m@1"]},
  "/regions/south": {},
  "/services/m": {"kind": "model", "max_attempts": 4},
  "/organisations/o": {"residency": ["north"], "max_attempts": 5},
  "/organisations/o/services/m": {"deadline_ms": 9000}
})";

ChangeProposal proposalOf(const std::string &id, SettingsPatch patch)
{
    ChangeProposal proposal;
    proposal.changeId = id;
    proposal.author = "op-" + id;
    proposal.reason = "test";
    proposal.patch = std::move(patch);
    return proposal;
}

SettingsPatch weightPatch(double weight)
{
    return { PatchEntry{ "/", "away_weight", weight } };
}

class SettingsLogFixture
{
public:
    SettingsLogFixture()
    {
        REQUIRE(isOk(log.propose(proposalOf("first", valueOf(parseSettings(smallTree, "test"))))));
    }

    ManualClock clock;
    MemoryPlatform platform{ clock };
    SettingsLog log{ platform, clock };
};

/// Runs a competing write between another writer's read and its write.
class RacingStore : public MemoryPlatform
{
public:
    using MemoryPlatform::MemoryPlatform;

    Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expected,
                              std::uint64_t lease) override
    {
        if (competingWrite) {
            const auto write = std::exchange(competingWrite, {});
            write();
        }
        return MemoryPlatform::put(key, value, expected, lease);
    }

    std::function<void()> competingWrite;
};

bool mentions(const std::vector<SettingsProblem> &problems, const std::string &text)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const SettingsProblem &problem) { return describe(problem).find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("Settings, value set above, is inherited with its origin")
{
    const SettingsTree tree = treeFrom(smallTree);
    const ResolvedValue inherited = tree.resolve("/organisations/o/services/m", "latency_weight");
    CHECK(inherited.value == 2);
    CHECK(inherited.path == "/");
    const ResolvedValue overridden = tree.resolve("/organisations/o/services/m", "max_attempts");
    CHECK(overridden.value == 5);
    CHECK(overridden.path == "/organisations/o");
    CHECK(tree.resolve("/organisations/o", "cost_weight").path == "built-in");
}

TEST_CASE("Settings, request policy, organisation overrides service and service overrides root")
{
    const std::shared_ptr<const CompiledSettings> settings = compiledFrom(smallTree);
    const RequestPolicy &policy = settings->policy("o", "m");
    CHECK(policy.maxAttempts == 5);
    CHECK(policy.deadline == Millis{ 9000 });
    CHECK(policy.latencyWeight == 2);
    CHECK(policy.originOf("deadline_ms")->path == "/organisations/o/services/m");
    CHECK(settings->policy("stranger", "m").maxAttempts == 4);
    CHECK(settings->linkMs("north", "south") == 40);
}

TEST_CASE("Settings, each kind of invalid value, is refused with the allowed values")
{
    const auto problemsOf = [](const std::string &text) { return checkSettings(treeFrom(text)); };
    CHECK(checkSettings(treeFrom(smallTree)).empty());
    CHECK(mentions(problemsOf(R"({"/": {"latncy_weight": 1}})"), "latency_weight"));
    CHECK(mentions(problemsOf(R"({"/": {"latency_weight": "much"}})"), "number from 0 to 1000"));
    CHECK(mentions(problemsOf(R"({"/": {"latency_weight": -1}})"), "number from 0 to 1000"));
    CHECK(mentions(problemsOf(R"({"/": {"class": "urgent"}})"), "interactive|deferrable"));
    CHECK(mentions(problemsOf(R"({"/": {"address": "127.0.0.1:1"}})"), "node of kind root"));
    CHECK(mentions(problemsOf(R"({"/nowhere/x": {}})"), "unknown path"));
    CHECK(mentions(problemsOf(R"({"/organisations/o": {"residency": ["west"]}})"), "below /regions"));
    CHECK(mentions(problemsOf(R"({"/": {"latency_weight": 0, "cost_weight": 0, "away_weight": 0}})"), "sum to 0"));
    CHECK(mentions(problemsOf(R"({"/organisations/o": {}, "/organisations/o/services/x": {}})"), "does not exist"));
    CHECK(mentions(problemsOf(R"({"/services/s": {"at_most_once": ["POST"]}})"), "one space and a path"));
    CHECK(mentions(problemsOf(R"({"/regions/r/data_centres/d": {}})"), "without its parent"));
}

TEST_CASE("Settings, residency without an upstream of the service, is refused")
{
    std::string text = smallTree;
    text.replace(text.find("\"deadline_ms\": 9000"), 19, "\"residency\": [\"south\"]");
    CHECK(mentions(checkSettings(treeFrom(text)), "an upstream offers the service"));
}

TEST_CASE("Settings, text with comments, is read, and a malformed line is reported")
{
    CHECK(isOk(parseSettings("{ // why\n \"/\": {} /* or */ }", "f")));
    const Result<SettingsPatch> broken = parseSettings("{\n\"/\": {\n \"a\" 1}}", "f.jsonc");
    REQUIRE(!isOk(broken));
    CHECK(errorOf(broken).message.find("f.jsonc:3") != std::string::npos);
    const Result<SettingsPatch> twice = parseSettings(R"({"/": {"class": "interactive", "class": "deferrable"}})", "f");
    REQUIRE(!isOk(twice));
    CHECK(errorOf(twice).message.find("appears twice") != std::string::npos);
}

TEST_CASE("Settings, schema table, is sorted and its defaults are valid")
{
    std::string previous;
    for (const KeyDescription &key : settingsSchema()) {
        CHECK(previous < key.name);
        previous = key.name;
        CHECK((key.defaultJson.empty() || !nlohmann::json::parse(key.defaultJson, nullptr, false).is_discarded()));
    }
}

TEST_CASE("Settings, difference of two trees, turns one into the other")
{
    const SettingsTree from = treeFrom(smallTree);
    const SettingsTree to = treeFrom(R"({"/": {"cost_weight": 3}, "/regions/east": {}})");
    const SettingsTree result = from.with(from.differenceTo(to), 2);
    CHECK(result.differenceTo(to).empty());
    CHECK(result.nodes().size() == to.nodes().size());
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, two operators with the same base, later one learns which values changed")
{
    ChangeProposal first = proposalOf("a", weightPatch(3));
    ChangeProposal second = proposalOf("b", weightPatch(4));
    first.expectedVersion = second.expectedVersion = 1;
    REQUIRE(isOk(log.propose(first)));
    const Result<SettingsChange> refused = log.propose(second);
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::VersionConflict);
    CHECK(errorOf(refused).message.find("/ away_weight (version 2 by op-a)") != std::string::npos);
}

TEST_CASE("Settings log, writer overtaken between read and write, is appended after the other change")
{
    ManualClock clock;
    RacingStore store(clock);
    SettingsLog log(store, clock);
    store.competingWrite = [&] { REQUIRE(isOk(log.propose(proposalOf("winner", weightPatch(3))))); };
    const Result<SettingsChange> accepted = log.propose(proposalOf("loser", weightPatch(4)));
    REQUIRE(isOk(accepted));
    CHECK(valueOf(accepted).version == 2);
    CHECK(patchToJson(valueOf(accepted).before) == patchToJson(weightPatch(3)));
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, reply of the write lost, change is found by its id and accepted once")
{
    platform.setFaults(PlatformFaults{ .down = false, .losesReplies = true });
    const Result<SettingsChange> accepted = log.propose(proposalOf("lost", weightPatch(7)));
    REQUIRE(isOk(accepted));
    CHECK(valueOf(accepted).version == 2);
    platform.setFaults({});
    CHECK(valueOf(log.after(0)).size() == 2);
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, platform down, refuses as not run")
{
    platform.setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    const Result<SettingsChange> refused = log.propose(proposalOf("x", weightPatch(1)));
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).run == RunState::NotRun);
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, invalid change, is not written")
{
    const Result<SettingsChange> refused = log.propose(proposalOf("x", weightPatch(-1)));
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::SettingsInvalid);
    CHECK(valueOf(log.after(0)).size() == 1);
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, revert, restores old values under a new version")
{
    REQUIRE(isOk(log.propose(proposalOf("a", weightPatch(3)))));
    const SettingsTree present = valueOf(log.catchUp({}));
    const Result<SettingsPatch> patch = log.patchRestoring(1, present);
    REQUIRE(isOk(patch));
    const Result<SettingsChange> reverted = log.propose(proposalOf("r", valueOf(patch)));
    REQUIRE(isOk(reverted));
    CHECK(valueOf(reverted).version == 3);
    CHECK(valueOf(log.catchUp({})).resolve("/", "away_weight").path == "built-in");
}

TEST_CASE_FIXTURE(SettingsLogFixture, "Settings log, fresh reader after many changes, starts from the snapshot")
{
    for (int index = 0; index < 130; ++index) {
        REQUIRE(isOk(log.propose(proposalOf("c" + std::to_string(index), weightPatch(index)), valueOf(log.catchUp({})))));
    }
    const std::uint64_t before = platform.calls().reads;
    const SettingsTree tree = valueOf(log.catchUp({}));
    CHECK(tree.version() == 131);
    CHECK(tree.resolve("/", "away_weight").value == 129);
    CHECK(platform.calls().reads - before == 2);
}

TEST_CASE("Settings log, eight writers at once, every change is accepted exactly once and in one order")
{
    ManualClock clock;
    MemoryPlatform platform(clock);
    constexpr int writers = 8;
    constexpr int changes = 5;
    std::vector<std::thread> threads;
    std::atomic<int> accepted{ 0 };
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&, writer] {
            SettingsLog log(platform, clock);
            for (int change = 0; change < changes; ++change) {
                const std::string id = std::to_string(writer) + "-" + std::to_string(change);
                while (!isOk(log.propose(proposalOf(id, weightPatch(writer))))) { }
                ++accepted;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::vector<SettingsChange> all = valueOf(SettingsLog(platform, clock).after(0));
    CHECK(all.size() == writers * changes);
    std::map<std::string, int> seen;
    for (std::size_t index = 0; index < all.size(); ++index) {
        CHECK(all[index].version == index + 1);
        CHECK(++seen[all[index].changeId] == 1);
    }
}

TEST_CASE("Settings controller, two threads apply the same changes, never activate an older version after a newer one")
{
    constexpr std::uint64_t changes = 300;
    ManualClock clock;
    MemoryPlatform platform(clock);
    Blackboard board;
    std::vector<std::uint64_t> inForce;
    SettingsControllerParts parts{ board, platform, clock, { "north", "n1" }, [] { return false; }, {}, {}, Millis(10) };
    parts.onApplied = [&](std::uint64_t) { inForce.push_back(board.settings.read()->version()); };
    SettingsController controller(parts);
    const auto takeAll = [&controller] {
        for (std::uint64_t version = 1; version <= changes; ++version) {
            SettingsChange change;
            change.version = version;
            change.patch = weightPatch(static_cast<double>(version));
            controller.takeChanges({ change });
        }
    };
    std::thread other(takeAll);
    takeAll();
    other.join();
    CHECK(std::is_sorted(inForce.begin(), inForce.end()));
    CHECK(board.settings.read()->version() == changes);
}
