// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Orders to engines: one holder at a time, fences, paused holders and lost replies.

#include "portpaddle/control/order_controller.h"
#include "portpaddle/platform/memory_platform.h"
#include "portpaddle/routing/snapshot_builder.h"
#include "support/manual_clock.h"
#include "support/settings_text.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

const std::string settingsText = R"({
  "/": {}, "/regions/north": {}, "/regions/north/data_centres/n1": {},
  "/regions/north/data_centres/n1/upstreams/e1": {"address": "127.0.0.1:1", "services": ["m@1"]},
  "/regions/north/data_centres/n1/upstreams/e2": {"address": "127.0.0.1:2", "services": ["m@1"], "checks_fence": false},
  "/services/m": {}
})";

/// Records the orders sent to engines; e2 and engines whose name begins with u check no fence.
class RecordingEngines : public OrderSender
{
public:
    OrderOutcome send(const EngineOrder &order) override
    {
        if (beforeSend) {
            beforeSend();
        }
        std::uint64_t &highest = fences[order.upstream];
        const bool checks = order.upstream != "e2" && order.upstream.front() != 'u';
        if (checks && order.fence < highest) {
            return OrderOutcome::RefusedByFence;
        }
        staleOrders += order.fence < highest ? 1 : 0;
        highest = std::max(highest, order.fence);
        orders.push_back(order);
        return loseReplies ? OrderOutcome::Unknown : OrderOutcome::Accepted;
    }

    unsigned countOf(const std::string &upstream) const
    {
        return static_cast<unsigned>(
            std::count_if(orders.begin(), orders.end(), [&](const EngineOrder &order) { return order.upstream == upstream; }));
    }

    std::function<void()> beforeSend;
    std::map<std::string, std::uint64_t> fences;
    std::vector<EngineOrder> orders;
    unsigned staleOrders = 0;
    bool loseReplies = false;
};

class OrderFixture
{
public:
    OrderFixture()
    {
        board.settings.publish(compiledFrom(settingsText));
        snapshots.rebuild();
    }

    OrderParts partsFor(const std::string &daemon)
    {
        return OrderParts{ board, clock, platform, engines, "n1", daemon, [] { return true; } };
    }

    void pass(Millis time, std::vector<OrderController *> running)
    {
        constexpr Millis step{ 500 };
        for (Millis passed{ 0 }; passed < time; passed += step) {
            clock.advance(step);
            for (OrderController *controller : running) {
                controller->step();
            }
        }
    }

    ManualClock clock;
    MemoryPlatform platform{ clock };
    Blackboard board;
    RemoteDispatches remotes;
    SnapshotBuilder snapshots{ board, clock, remotes };
    RecordingEngines engines;
    OrderController first{ partsFor("d1") };
    OrderController second{ partsFor("d2") };
};

} // namespace

TEST_CASE_FIXTURE(OrderFixture, "Orders, two daemons, one holds the lease and each engine is ordered once")
{
    pass(Millis{ 60'000 }, { &first, &second });
    CHECK(first.holdsLease() != second.holdsLease());
    CHECK(engines.countOf("e1") == 1);
    CHECK(engines.countOf("e2") == 1);
}

TEST_CASE_FIXTURE(OrderFixture, "Orders, holder paused past its lease, sends nothing after the pause")
{
    pass(Millis{ 5'000 }, { &first });
    REQUIRE(first.holdsLease());
    pass(Millis{ 60'000 }, { &second });
    REQUIRE(second.holdsLease());
    board.settings.publish(compiledFrom(std::string(settingsText).replace(settingsText.find("m@1"), 3, "m@2")));
    snapshots.rebuild();
    const std::size_t before = engines.orders.size();
    first.step();
    CHECK(engines.orders.size() == before);
    pass(Millis{ 30'000 }, { &first, &second });
    CHECK(engines.staleOrders == 0);
}

TEST_CASE_FIXTURE(OrderFixture,
                  "Orders, holder paused between plan and sending, withholds the rest and fences refuse the order in progress")
{
    engines.beforeSend = [&] {
        engines.beforeSend = {};
        // The holder pauses while its first order is sent; another daemon takes over meanwhile and sends its orders first.
        pass(Millis{ 60'000 }, { &second });
    };
    pass(Millis{ 5'000 }, { &first });
    CHECK(engines.staleOrders == 0);
    CHECK(engines.countOf("e1") == 1);
    CHECK(first.recent().front().outcome.find("refused") != std::string::npos);
}

TEST_CASE_FIXTURE(OrderFixture, "Orders, engine that checks no fence, gets no order until an old holder's longest pause is over")
{
    pass(Millis{ 20'000 }, { &first });
    CHECK(engines.countOf("e1") == 1);
    CHECK(engines.countOf("e2") == 0);
    pass(Millis{ 20'000 }, { &first });
    CHECK(engines.countOf("e2") == 1);
}

TEST_CASE_FIXTURE(OrderFixture, "Orders, reply of the lease's write lost, the holder is found by reading back")
{
    platform.setFaults(PlatformFaults{ .down = false, .losesReplies = true });
    pass(Millis{ 5'000 }, { &first });
    platform.setFaults({});
    CHECK(first.holdsLease());
    pass(Millis{ 5'000 }, { &second });
    CHECK(!second.holdsLease());
}

TEST_CASE_FIXTURE(OrderFixture, "Orders, platform down, holder continues only while its lease is confirmed")
{
    pass(Millis{ 5'000 }, { &first });
    platform.setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    pass(Millis{ 4'000 }, { &first });
    CHECK(first.holdsLease());
    pass(Millis{ 10'000 }, { &first });
    CHECK(!first.holdsLease());
}

TEST_CASE_FIXTURE(OrderFixture, "Orders, reply of an engine lost, order is sent again")
{
    engines.loseReplies = true;
    pass(Millis{ 1'000 }, { &first });
    engines.loseReplies = false;
    pass(Millis{ 2'000 }, { &first });
    CHECK(engines.countOf("e1") >= 2);
    const unsigned settled = engines.countOf("e1");
    pass(Millis{ 20'000 }, { &first });
    CHECK(engines.countOf("e1") == settled);
}

TEST_CASE_FIXTURE(OrderFixture,
                  "Orders, new version in the settings, is loaded before the old one is dropped, few engines at once")
{
    pass(Millis{ 60'000 }, { &first });
    std::string changed = settingsText;
    for (std::size_t at = changed.find("m@1"); at != std::string::npos; at = changed.find("m@1")) {
        changed.replace(at, 3, "m@2");
    }
    board.settings.publish(compiledFrom(changed));
    snapshots.rebuild();
    const std::size_t before = engines.orders.size();
    first.step();
    CHECK(engines.orders.size() == before + 1);
    pass(Millis{ 10'000 }, { &first });
    const std::vector<EngineOrder> given(engines.orders.begin() + static_cast<std::ptrdiff_t>(before), engines.orders.end());
    REQUIRE(given.size() == 4);
    CHECK(given[0].kind == OrderKind::Load);
    CHECK(given[0].subject == "m@2");
    CHECK(given[1].kind == OrderKind::Drop);
    CHECK(given[1].subject == "m@1");
}

TEST_CASE_FIXTURE(OrderFixture,
                  "Orders, holder paused after the first of several orders, withholds the rest from engines that check no fence")
{
    nlohmann::json json = nlohmann::json::parse(settingsText);
    for (int index = 0; index < 8; ++index) {
        json["/regions/north/data_centres/n1/upstreams/u" + std::to_string(index)]
            = { { "address", "127.0.0.1:9" }, { "services", { "m@1" } }, { "checks_fence", false } };
    }
    const auto publish = [&] {
        board.settings.publish(compiledFrom(json.dump()));
        snapshots.rebuild();
    };
    publish();
    pass(Millis{ 60'000 }, { &first });
    REQUIRE(engines.orders.size() == 10);
    for (auto &[path, node] : json.items()) {
        if (node.contains("services")) {
            node["services"] = { "m@2" };
        }
    }
    publish();
    engines.beforeSend = [&] {
        engines.beforeSend = {};
        pass(Millis{ 90'000 }, { &second });
    };
    first.step();
    REQUIRE(second.holdsLease());
    // The order in progress goes to an engine that refuses its fence; the next engine checks no fence and must get no order.
    CHECK(engines.staleOrders == 0);
}
