// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Watching the store over outages, and the record of a daemon there.

#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/state_exchange.h"
#include "portpaddle/store_following/store_watcher.h"
#include "support/daemon_records.h"
#include "support/eventually.h"
#include "support/recording_listener.h"
#include "support/scripted_store.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

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

namespace {

/// A store whose keys change between the pages of a listing, and that answers a watch call with one change.
class StoreInPages : public ScriptedStore
{
public:
    Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) override
    {
        const Result<KeyListing> firstPage = ScriptedStore::listAll(prefix, freshness);
        set("p/passing", "1");
        remove("p/passing");
        Result<KeyListing> lastPage = ScriptedStore::listAll(prefix, freshness);
        valueOf(lastPage).newestRevision = valueOf(lastPage).revision;
        valueOf(lastPage).revision = valueOf(firstPage).revision;
        return lastPage;
    }

    Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) override
    {
        Result<KeyChanges> reply = ScriptedStore::follow(prefix, revision, timeout);
        if (isOk(reply) && valueOf(reply).changes.size() > 1) {
            valueOf(reply).changes.resize(1);
            valueOf(reply).revision = valueOf(reply).changes.back().item.revision;
        }
        return reply;
    }
};

/// Remembers every key that was ever reported as present.
class EveryKey : public RecordingListener
{
public:
    void changed(const std::vector<KeyChange> &changes) override
    {
        for (const KeyChange &change : changes) {
            const std::lock_guard lock(mutex);
            if (!change.removed) {
                reported.insert(change.item.key);
            }
        }
        RecordingListener::changed(changes);
    }

    std::set<std::string> reported;
};

} // namespace

TEST_CASE("Store watcher, key that was removed between the pages of a listing, is not reported and not left to followers")
{
    StoreInPages store;
    store.set("p/stays", "1");
    EveryKey listener;
    ChangeFeed feed([] {});
    StoreWatcher watcher("p/", store, listener);
    watcher.setFeed(&feed);
    watcher.setCoalescingDelay(Millis(0));
    watcher.start();
    REQUIRE(eventually([&] { return listener.has("p/stays"); }));
    store.set("p/after", "1");
    REQUIRE(eventually([&] { return listener.has("p/after"); }));
    watcher.stop();
    const std::lock_guard lock(listener.mutex);
    CHECK_FALSE(listener.reported.contains("p/passing"));
    // A daemon with the first page's revision may know the key, and the feed does not contain its removal.
    CHECK(feed.since(1).incomplete);
}

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
    CHECK(rc::check([](const std::string &bytes) { (void)decodeChanges(bytes, BootClock::now()); }));
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
