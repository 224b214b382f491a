// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Following the store over outages, by itself and by way of other daemons, and the record that a daemon keeps there.

#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/relayed_store.h"
#include "portpaddle/gateway/daemon_registration.h"
#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/gateway/store_watcher.h"
#include "support/daemon_records.h"
#include "support/eventually.h"
#include "support/scripted_store.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// Remembers what a follower told.
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
        ++losses;
    }

    void onStoreAvailable() override
    {
        ++returns;
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
    std::atomic<unsigned> losses{ 0 };
    std::atomic<unsigned> returns{ 0 };
};

/// A store that holds one key, and a follower of it.
class FollowedStoreFixture
{
public:
    FollowedStoreFixture()
    {
        store.set("p/a", "1");
    }

    /// Starts a follower that knows the key.
    void follow(WatchedStore *verifier = nullptr)
    {
        follower.emplace("p/", store, listener, nullptr, verifier);
        follower->start();
        CHECK(eventually([&] { return listener.has("p/a"); }));
    }

    ScriptedStore store;
    RecordingListener listener;
    std::optional<StoreWatcher> follower;
};

} // namespace

TEST_CASE_FIXTURE(FollowedStoreFixture, "Key follower, store that fails and returns, misses no change")
{
    follow();
    store.setFailing(true);
    CHECK(eventually([&] { return listener.losses == 1; }));
    store.set("p/b", "1");
    store.setFailing(false);
    CHECK(eventually([&] { return listener.has("p/b") && listener.returns == 2; }));
    CHECK(listener.listings == 1);
}

TEST_CASE_FIXTURE(FollowedStoreFixture, "Key follower, answer of a waiting call that was lost, is noticed and asked for again")
{
    follow(&store);
    store.loseNextAnswer();
    store.set("p/b", "1");
    CHECK(eventually([&] { return listener.has("p/b"); }));
}

TEST_CASE_FIXTURE(FollowedStoreFixture, "Key follower, history that the store forgot, lists again")
{
    follow();
    store.forgetHistory();
    store.remove("p/a");
    store.set("p/b", "1");
    CHECK(eventually([&] { return listener.has("p/b") && !listener.has("p/a"); }));
    CHECK(listener.losses == 0);
}

TEST_CASE("Key follower, store away from the start, takes what a peer hands on and then the store's own list")
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
    StoreWatcher follower("p/", store, listener, &peers);
    follower.start();
    CHECK(eventually([&] { return listener.has("p/known"); }));
    store.setFailing(false);
    CHECK(eventually([&] { return listener.has("p/own") && !listener.has("p/known"); }));
    follower.stop();
    peer.stop();
}

TEST_CASE("Fleet state, bytes of a hostile peer, are refused or harmless")
{
    rc::check([](const std::string &bytes) { (void)decodeChanges(bytes, BootClock::now()); });
    const auto decoded = decodeChanges(encodeState("d", { { "k", "v", 7 } }, {}), BootClock::now());
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).changes.at(0).item.revision == 7);
}

TEST_CASE("Daemon registration, lease that ran out, enters again and leaves in the end")
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

TEST_CASE("Daemon registration, not ready yet, does not enter")
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

/// A daemon that hands on what a feed holds.
class FeedSource
{
public:
    FeedSource()
    {
        server_.Get(changesPath, [this](const httplib::Request &request, httplib::Response &response) {
            const FeedUpdate news = feed.since(std::stoull(request.get_param_value("after")));
            if (news.changes.empty() && news.reachable) {
                std::this_thread::sleep_for(5ms);
            }
            response.set_content(encodeChanges("source", news), "application/octet-stream");
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

/// A daemon that follows one source, beside the store itself.
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

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source that is well, hands on changes without a call to the store")
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

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source that has long had no answer of the store, is left for the store")
{
    source.feed.restart(5, BootClock::now() - 10s);
    store.set("k", "1");
    const auto changes = relayed.follow("", 0, 100ms);
    REQUIRE(isOk(changes));
    CHECK_FALSE(valueOf(changes).relayed);
    CHECK(store.calls() == 1);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source and store lost, does not call the store with every try")
{
    source.feed.setReachable(false);
    store.setFailing(true);
    for (int call = 0; call < 20; ++call) {
        CHECK_FALSE(isOk(relayed.follow("", 5, 10ms)));
    }
    CHECK(store.calls() == 1);
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source that knows less than this daemon, is not listed from")
{
    source.items = { { "old", "1", 4 } };
    store.set("new", "1");
    (void)relayed.follow("", 9, 10ms);
    const auto listing = relayed.listAll("", ReadFreshness::Newest);
    REQUIRE(isOk(listing));
    REQUIRE(valueOf(listing).items.size() == 1);
    CHECK(valueOf(listing).items[0].key == "new");
}

TEST_CASE_FIXTURE(RelayFixture, "Relayed store, source that forgot the changes asked for, says that history is gone")
{
    const auto changes = relayed.follow("", 3, 10ms);
    REQUIRE_FALSE(isOk(changes));
    CHECK(errorOf(changes).code == ErrorCode::HistoryCompacted);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "Relayed store, one source ahead that forgot and one that missed the same changes, lists from the one ahead")
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
        // In turns: within two calls the one ahead is asked first.
        bool gone = false;
        for (int call = 0; call < 2; ++call) {
            const auto changes = relayed.follow("", 5, 10ms);
            gone = gone || (!isOk(changes) && errorOf(changes).code == ErrorCode::HistoryCompacted);
        }
        CHECK(gone);
        const auto listing = relayed.listAll("", ReadFreshness::Newest);
        REQUIRE(isOk(listing));
        REQUIRE(valueOf(listing).items.size() == 1);
        CHECK(valueOf(listing).items[0].key == "new");
    }
    CHECK(store.calls() == 0);
}

TEST_CASE("Following, many daemons of a region by way of few, misses no change and calls the store no more often than those few")
{
    constexpr int changes = 20;
    ScriptedStore store;
    store.set("k0", "1");
    FeedSource source;
    RecordingListener direct;
    StoreWatcher follower("", store, direct);
    follower.setCoalescingDelay(5ms);
    follower.setFeed(&source.feed);
    follower.start();
    REQUIRE(eventually([&] { return direct.has("k0"); }));
    source.items = { { "k0", "1", 1 } };

    const FollowRole role{ false, { source.address() } };
    std::vector<std::unique_ptr<RelayedStore>> stores;
    std::vector<std::unique_ptr<RecordingListener>> listeners;
    std::vector<std::unique_ptr<StoreWatcher>> followers;
    for (int index = 0; index < 6; ++index) {
        stores.push_back(std::make_unique<RelayedStore>(store, [&] { return role; }));
        listeners.push_back(std::make_unique<RecordingListener>());
        followers.push_back(std::make_unique<StoreWatcher>("", *stores.back(), *listeners.back()));
        followers.back()->start();
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
    follower.stop();
    // One waiting call for each change at most, and those that ended without one.
    CHECK(store.calls() - before < 6 * changes);
    for (const auto &each : followers) {
        each->stop();
    }
}

TEST_CASE_FIXTURE(RelayFixture, "Following, source lost and then the answer of the store too, is noticed and asked for again")
{
    source.items = { { "k0", "1", 1 } };
    source.feed.restart(1, BootClock::now());
    store.set("k0", "1");
    RecordingListener listener;
    StoreWatcher follower("", relayed, listener, nullptr, &store);
    follower.start();
    REQUIRE(eventually([&] { return listener.has("k0"); }));
    source.feed.add({ write("k1", 2) }, 2, BootClock::now());
    REQUIRE(eventually([&] { return listener.has("k1"); }));
    store.loseNextAnswer();
    source.feed.setReachable(false);
    store.set("k1", "1");
    store.set("k2", "1");
    CHECK(eventually([&] { return listener.has("k2"); }));
    // Ends the call that hangs where it was not noticed.
    relayed.interrupt();
}

TEST_CASE("Follow role, daemons of a large region, three follow the store and all others the same three")
{
    FleetView view;
    for (int index = 0; index < 40; ++index) {
        view.daemons.push_back(daemonIn("d" + std::to_string(index), "north"));
    }
    std::set<std::string> direct;
    std::set<std::vector<std::string>> firsts;
    for (const DaemonRecord &daemon : view.daemons) {
        const FollowRole role = followRole(view, daemon.id, "north");
        if (role.direct) {
            direct.insert(daemon.linkAddress);
        } else {
            firsts.insert({ role.sources.begin(), role.sources.begin() + 3 });
        }
    }
    CHECK(direct.size() == 3);
    REQUIRE(firsts.size() == 1);
    CHECK(std::set(firsts.begin()->begin(), firsts.begin()->end()) == direct);
}

TEST_CASE("Follow role, small fleet, each daemon follows the store by itself")
{
    FleetView view;
    for (int index = 0; index < 7; ++index) {
        view.daemons.push_back(daemonIn("d" + std::to_string(index), "north"));
    }
    CHECK(followRole(view, "d3", "north").direct);
}
