// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Watching the store over outages, directly and through other daemons, and the record of a daemon there.

#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/relayed_store.h"
#include "portpaddle/gateway/daemon_registration.h"
#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/gateway/store_watcher.h"
#include "support/daemon_records.h"
#include "support/eventually.h"
#include "support/scripted_store.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// Records the notifications of a watcher.
class RecordingListener : public WatchListener
{
public:
    void listed(const std::vector<KeyValue> &items) override
    {
        const std::lock_guard lock(mutex);
        ++listings;
        keys.clear();
        for (const KeyValue &item : items) {
            keys.insert(item.key);
        }
    }

    void changed(const std::vector<KeyChange> &changes) override
    {
        const std::lock_guard lock(mutex);
        for (const KeyChange &change : changes) {
            if (change.removed) {
                keys.erase(change.item.key);
            } else {
                keys.insert(change.item.key);
            }
        }
    }

    void onStoreUnavailable(const Error &) override
    {
        ++unavailableCount;
    }

    void onStoreAvailable() override
    {
        ++availableCount;
    }

    void receivedFromPeer(const std::vector<KeyValue> &items) override
    {
        const std::lock_guard lock(mutex);
        for (const KeyValue &item : items) {
            keys.insert(item.key);
        }
    }

    bool has(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        return keys.contains(key);
    }

    std::mutex mutex;
    std::set<std::string> keys;
    std::atomic<unsigned> listings{ 0 };
    std::atomic<unsigned> unavailableCount{ 0 };
    std::atomic<unsigned> availableCount{ 0 };
};

/// A store that holds one key, and a watcher.
class WatchedStoreFixture
{
public:
    WatchedStoreFixture()
    {
        store.set("p/a", "1");
    }

    /// Starts a watcher and waits until it has reported the key.
    void startWatcher(WatchedStore *verifier = nullptr)
    {
        watcher.emplace("p/", store, listener, nullptr, verifier);
        watcher->start();
        CHECK(eventually([&] { return listener.has("p/a"); }));
    }

    ScriptedStore store;
    RecordingListener listener;
    std::optional<StoreWatcher> watcher;
};

} // namespace

TEST_CASE_FIXTURE(WatchedStoreFixture, "Store watcher, store that fails and recovers, misses no change")
{
    startWatcher();
    store.setFailing(true);
    CHECK(eventually([&] { return listener.unavailableCount == 1; }));
    store.set("p/b", "1");
    store.setFailing(false);
    CHECK(eventually([&] { return listener.has("p/b") && listener.availableCount == 2; }));
    CHECK(listener.listings == 1);
}

TEST_CASE_FIXTURE(WatchedStoreFixture, "Store watcher, lost answer of a waiting call, is noticed and requested again")
{
    startWatcher(&store);
    store.loseNextAnswer();
    store.set("p/b", "1");
    CHECK(eventually([&] { return listener.has("p/b"); }));
}

TEST_CASE_FIXTURE(WatchedStoreFixture, "Store watcher, compacted history, lists again")
{
    startWatcher();
    store.forgetHistory();
    store.remove("p/a");
    store.set("p/b", "1");
    CHECK(eventually([&] { return listener.has("p/b") && !listener.has("p/a"); }));
    CHECK(listener.unavailableCount == 0);
}

namespace {

/// A store of which a listing takes seconds, during which the operator writes a configuration.
class SlowStore : public ScriptedStore
{
public:
    Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) override
    {
        Result<KeyListing> listing = ScriptedStore::listAll(prefix, freshness);
        if (prefix.empty()) {
            delay = std::make_unique<Suspension>(5s);
            set("op/config", "new");
        }
        return listing;
    }

    std::unique_ptr<Suspension> delay;
};

/// Remembers the value of one key of the first listing.
class FirstListing : public RecordingListener
{
public:
    void listed(const std::vector<KeyValue> &items) override
    {
        for (const KeyValue &item : items) {
            const std::lock_guard lock(mutex);
            if (item.key == "op/config" && configuration.empty()) {
                configuration = item.value;
            }
        }
        RecordingListener::listed(items);
    }

    std::string configuration;
};

} // namespace

namespace {

/// A store that answers a watch call with at most a hundred changes.
class StoreInParts : public ScriptedStore
{
public:
    Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) override
    {
        Result<KeyChanges> reply = ScriptedStore::follow(prefix, revision, timeout);
        constexpr std::size_t maxChanges = 100;
        if (isOk(reply) && valueOf(reply).changes.size() > maxChanges) {
            valueOf(reply).changes.resize(maxChanges);
            valueOf(reply).revision = valueOf(reply).changes.back().item.revision;
        }
        return reply;
    }
};

} // namespace

TEST_CASE("Store watcher, store with many answers' worth of changes, is followed without a pause between them")
{
    StoreInParts store;
    RecordingListener listener;
    StoreWatcher watcher("", store, listener);
    // Longer than the test may take.
    watcher.setCoalescingDelay(10s);
    store.set("first", "1");
    watcher.start();
    REQUIRE(eventually([&] { return listener.has("first"); }));
    store.setFailing(true);
    for (unsigned index = 0; index < 1'000; ++index) {
        store.set(fmt::format("servers/{}", index), "1");
    }
    store.set("op/config", "1");
    store.setFailing(false);
    CHECK(eventually([&] { return listener.has("op/config"); }));
    watcher.stop();
}

TEST_CASE("Store watcher, listing that takes seconds, reports what the operator wrote meanwhile")
{
    SlowStore store;
    store.set("op/config", "old");
    store.set("servers/a", "1");
    FirstListing listener;
    StoreWatcher watcher("", store, listener);
    watcher.setUrgentPrefix("op/");
    watcher.start();
    CHECK(eventually([&] { return listener.has("servers/a"); }));
    const std::lock_guard lock(listener.mutex);
    CHECK(listener.configuration == "new");
}

TEST_CASE("Store watcher, store unavailable from the start, uses the state of a peer and then the list of the store")
{
    httplib::Server peer;
    peer.Get(statePath, [](const httplib::Request &, httplib::Response &response) {
        response.set_content(encodeState("other", { { "p/known", "1", 4 } }, {}), "application/octet-stream");
    });
    const int port = peer.bind_to_any_port("127.0.0.1");
    Thread server("peer", [&] { peer.listen_after_bind(); });
    const PeerStateClient peers([port] {
        return std::vector<std::string>{ "127.0.0.1:1", "127.0.0.1:" + std::to_string(port) };
    });
    ScriptedStore store;
    store.set("p/own", "1");
    store.setFailing(true);
    RecordingListener listener;
    StoreWatcher watcher("p/", store, listener, &peers);
    watcher.start();
    CHECK(eventually([&] { return listener.has("p/known"); }));
    store.setFailing(false);
    CHECK(eventually([&] { return listener.has("p/own") && !listener.has("p/known"); }));
    watcher.stop();
    peer.stop();
}

TEST_CASE("Fleet state, bytes of a hostile peer, are rejected or harmless")
{
    rc::check([](const std::string &bytes) { (void)decodeChanges(bytes, BootClock::now()); });
    const auto decoded = decodeChanges(encodeState("d", { { "k", "v", 7 } }, {}), BootClock::now());
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).changes.at(0).item.revision == 7);
}

TEST_CASE("Daemon registration, expired lease, registers again and is removed on withdrawal")
{
    ScriptedStore store;
    DaemonRegistration registration(
        store, daemonIn("d", "north"), Millis(1'000), [] { return true; }, [] { return true; });
    const std::string key = std::string(daemonRecordPrefix) + "d";
    registration.start();
    CHECK(eventually([&] { return store.has(key); }));
    store.endAllLeases();
    CHECK_FALSE(store.has(key));
    CHECK(eventually([&] { return store.has(key); }));
    registration.beginLeaving();
    CHECK(eventually([&] {
        const Result<DaemonRecord> record = decodeDaemonRecord(store.value(key));
        return isOk(record) && valueOf(record).leaving;
    }));
    registration.withdraw(Millis(20'000));
    CHECK_FALSE(store.has(key));
}

TEST_CASE("Daemon registration, not ready yet, does not register")
{
    ScriptedStore store;
    std::atomic<bool> ready{ false };
    DaemonRegistration registration(
        store, daemonIn("d", "north"), Millis(1'000), [&] { return ready.load(); }, [] { return true; });
    registration.start();
    CHECK(eventually([&] { return store.calls() == 0; }));
    ready = true;
    CHECK(eventually([&] { return store.has(std::string(daemonRecordPrefix) + "d"); }));
}

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
