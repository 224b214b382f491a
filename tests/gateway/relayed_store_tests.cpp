// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Following the store through other daemons.

#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/relayed_store.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/state_exchange.h"
#include "portpaddle/store_following/store_watcher.h"
#include "support/daemon_records.h"
#include "support/eventually.h"
#include "support/recording_listener.h"
#include "support/scripted_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// A daemon that serves the changes of a feed to other daemons.
class FeedSource
{
public:
    FeedSource()
    {
        server_.Get(changesPath, [this](const httplib::Request &request, httplib::Response &response) {
            const FeedUpdate update = feed.since(std::stoull(request.get_param_value("after")));
            if (update.changes.empty() && update.reachable) {
                std::this_thread::sleep_for(5ms);
            }
            response.set_content(encodeChanges("source", update), "application/octet-stream");
        });
        server_.Get(statePath, [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(encodeState("source", items, feed.since(0)), "application/octet-stream");
        });
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = Thread("source", [this] { server_.listen_after_bind(); });
    }

    ~FeedSource()
    {
        eventually([this] { return server_.is_running(); });
        server_.stop();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    ChangeFeed feed{ [] {} };
    std::vector<KeyValue> items;

private:
    httplib::Server server_;
    int port_ = 0;
    Thread thread_;
};

KeyChange write(const std::string &key, std::uint64_t revision)
{
    return { { key, "1", revision }, false };
}

/// A relayed store with one source besides the store itself.
class RelayFixture
{
public:
    RelayFixture()
    {
        source.feed.restart(5, BootClock::now());
        source.feed.setReachable(true);
    }

    FeedSource source;
    ScriptedStore store;
    FollowRole role{ false, { source.address() } };
    RelayedStore relayed{ store, [this] { return role; } };
};

} // namespace

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, healthy source, relays changes without a call to the store")
{
    source.feed.add({ write("k", 6), { { "gone", "", 7 }, true } }, 7, BootClock::now());
    const auto changes = relayed.follow("", 5, 100ms);
    REQUIRE(isOk(changes));
    CHECK(valueOf(changes).relayed);
    CHECK(valueOf(changes).revision == 7);
    REQUIRE(valueOf(changes).changes.size() == 2);
    CHECK(valueOf(changes).changes[1].removed);
    CHECK(store.calls() == 0);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source without a recent answer of the store, is replaced by the store")
{
    source.feed.restart(5, BootClock::now() - 10s);
    store.set("k", "1");
    const auto changes = relayed.follow("", 0, 100ms);
    REQUIRE(isOk(changes));
    CHECK_FALSE(valueOf(changes).relayed);
    CHECK(store.calls() == 1);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "Relayed store, first listing in a large fleet, reads the list of daemons and the rest from one of them")
{
    source.items = { { "servers/a", "1", 4 } };
    std::size_t records = 0;
    RelayedStore fresh(
        store, [] { return FollowRole{}; },
        [this, &records](const std::vector<KeyValue> &registered) {
            records = registered.size();
            return role;
        });
    store.set(std::string(daemonRecordPrefix) + "d1", "{}");
    store.set("servers/a", "0");
    const auto listing = fresh.listAll("", ReadFreshness::MayBeStale);
    REQUIRE(isOk(listing));
    CHECK(valueOf(listing).relayed);
    CHECK(valueOf(listing).items.size() == 1);
    CHECK(records == 1);
    CHECK(store.calls() == 1);
}

TEST_CASE("Follow role, records of many daemons, is that of a fleet with these daemons")
{
    std::vector<KeyValue> records;
    for (unsigned index = 0; index < 60; ++index) {
        DaemonRecord record;
        record.id = fmt::format("d{}", index);
        record.region = "north";
        record.linkAddress = record.id;
        records.push_back({ record.id, encodeDaemonRecord(record), 1 });
    }
    records.push_back({ "damaged", "{", 1 });
    CHECK_FALSE(followRoleAmong(records, "starting", "north").direct);
    CHECK(followRoleAmong(records, "starting", "south").direct);
    records.resize(5);
    CHECK(followRoleAmong(records, "starting", "north").direct);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source and store unavailable, does not call the store on every attempt")
{
    source.feed.setReachable(false);
    store.setFailing(true);
    for (int call = 0; call < 20; ++call) {
        CHECK_FALSE(isOk(relayed.follow("", 5, 10ms)));
    }
    CHECK(store.calls() == 1);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source behind this daemon, is not used for a listing")
{
    source.items = { { "old", "1", 4 } };
    store.set("new", "1");
    (void)relayed.follow("", 9, 10ms);
    const auto listing = relayed.listAll("", ReadFreshness::Newest);
    REQUIRE(isOk(listing));
    REQUIRE(valueOf(listing).items.size() == 1);
    CHECK(valueOf(listing).items[0].key == "new");
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source without the requested changes, reports a compacted history")
{
    const auto changes = relayed.follow("", 3, 10ms);
    REQUIRE_FALSE(isOk(changes));
    CHECK(errorOf(changes).code == ErrorCode::HistoryCompacted);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, one source ahead with compacted history and one behind, lists from the one ahead")
{
    FeedSource behind;
    behind.feed.restart(5, BootClock::now());
    behind.feed.setReachable(true);
    behind.items = { { "old", "1", 4 } };
    source.feed.restart(9, BootClock::now());
    source.items = { { "new", "1", 9 } };
    for (const bool aheadFirst : { true, false }) {
        role.sources
            = aheadFirst ? std::vector{ source.address(), behind.address() } : std::vector{ behind.address(), source.address() };
        // Sources take turns: one of two calls asks the one ahead first.
        bool compacted = false;
        for (int call = 0; call < 2; ++call) {
            const auto changes = relayed.follow("", 5, 10ms);
            compacted = compacted || (!isOk(changes) && errorOf(changes).code == ErrorCode::HistoryCompacted);
        }
        CHECK(compacted);
        const auto listing = relayed.listAll("", ReadFreshness::Newest);
        REQUIRE(isOk(listing));
        REQUIRE(valueOf(listing).items.size() == 1);
        CHECK(valueOf(listing).items[0].key == "new");
    }
    CHECK(store.calls() == 0);
}

TEST_CASE("Store watcher, many daemons with one source, misses no change and calls the store no more often than that source")
{
    constexpr int changes = 20;
    ScriptedStore store;
    store.set("k0", "1");
    FeedSource source;
    RecordingListener direct;
    StoreWatcher watcher("", store, direct);
    watcher.setCoalescingDelay(5ms);
    watcher.setFeed(&source.feed);
    watcher.start();
    REQUIRE(eventually([&] { return direct.has("k0"); }));
    source.items = { { "k0", "1", 1 } };

    const FollowRole role{ false, { source.address() } };
    std::vector<std::unique_ptr<RelayedStore>> stores;
    std::vector<std::unique_ptr<RecordingListener>> listeners;
    std::vector<std::unique_ptr<StoreWatcher>> watchers;
    for (int index = 0; index < 6; ++index) {
        stores.push_back(std::make_unique<RelayedStore>(store, [&] { return role; }));
        listeners.push_back(std::make_unique<RecordingListener>());
        watchers.push_back(std::make_unique<StoreWatcher>("", *stores.back(), *listeners.back()));
        watchers.back()->start();
    }
    REQUIRE(eventually([&] {
        return std::all_of(listeners.begin(), listeners.end(), [](const auto &listener) { return listener->has("k0"); });
    }));
    const unsigned before = store.calls();
    for (int index = 1; index <= changes; ++index) {
        store.set("k" + std::to_string(index), "1");
        std::this_thread::sleep_for(10ms);
    }
    CHECK(eventually([&] {
        return std::all_of(listeners.begin(), listeners.end(),
                           [](const auto &listener) { return listener->has("k" + std::to_string(changes)); });
    }));
    for (const auto &listener : listeners) {
        CHECK(listener->keys.size() == changes + 1);
    }
    watcher.stop();
    // At most one waiting call for each change, and the calls that ended without a change.
    CHECK(store.calls() - before < 6 * changes);
    for (const auto &each : watchers) {
        each->stop();
    }
}

TEST_CASE_FIXTURE(RelayFixture, "Store watcher, source lost and then the answer of the store, notices it and requests it again")
{
    source.items = { { "k0", "1", 1 } };
    source.feed.restart(1, BootClock::now());
    store.set("k0", "1");
    RecordingListener listener;
    StoreWatcher watcher("", relayed, listener, nullptr, &store);
    watcher.start();
    REQUIRE(eventually([&] { return listener.has("k0"); }));
    source.feed.add({ write("k1", 2) }, 2, BootClock::now());
    REQUIRE(eventually([&] { return listener.has("k1"); }));
    store.loseNextAnswer();
    source.feed.setReachable(false);
    store.set("k1", "1");
    store.set("k2", "1");
    CHECK(eventually([&] { return listener.has("k2"); }));
    // Ends the call that hangs if the loss was not noticed.
    relayed.interrupt();
}

TEST_CASE("Follow role, large region, three daemons follow the store and all others follow these three")
{
    FleetView view;
    for (int index = 0; index < 40; ++index) {
        view.daemons.push_back(daemonIn("d" + std::to_string(index), "north"));
    }
    std::set<std::string> direct;
    std::set<std::vector<std::string>> firstSources;
    for (const DaemonRecord &daemon : view.daemons) {
        const FollowRole role = followRole(view, daemon.id, "north");
        if (role.direct) {
            direct.insert(daemon.linkAddress);
        } else {
            firstSources.insert({ role.sources.begin(), role.sources.begin() + 3 });
        }
    }
    CHECK(direct.size() == 3);
    REQUIRE(firstSources.size() == 1);
    CHECK(std::set(firstSources.begin()->begin(), firstSources.begin()->end()) == direct);
}

TEST_CASE("Follow role, small fleet, each daemon follows the store directly")
{
    FleetView view;
    for (int index = 0; index < 7; ++index) {
        view.daemons.push_back(daemonIn("d" + std::to_string(index), "north"));
    }
    CHECK(followRole(view, "d3", "north").direct);
}
