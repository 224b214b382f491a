// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What a daemon takes from the state of another one while the store does not answer it.

#include "platform/fleet_listener.h"
#include "portpaddle/crashes/quarantine_record.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/store_watcher.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "support/daemon_records.h"
#include "support/eventually.h"
#include "support/recording_listener.h"
#include "support/scripted_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>

#include <functional>
#include <memory>
#include <optional>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// Far above the revisions of the tests' stores.
constexpr std::uint64_t laterRevision = 1'000;

/// Another daemon, which answers with a state that the test sets.
class Neighbour
{
public:
    Neighbour()
    {
        server_.Get(statePath, [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(mutex_);
            response.set_content(encodeState("neighbour", items_, update_), "application/octet-stream");
        });
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = Thread("neighbour", [this] { server_.listen_after_bind(); });
    }

    ~Neighbour()
    {
        server_.stop();
        thread_.join();
    }

    /// Makes the neighbour know @p items, in contact with the store or not.
    void know(std::vector<KeyValue> items, std::uint64_t revision, bool reachable = true)
    {
        const std::lock_guard lock(mutex_);
        items_ = std::move(items);
        update_.revision = revision;
        update_.reachable = reachable;
        update_.confirmedAt = BootClock::now();
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", port_);
    }

private:
    std::mutex mutex_;
    std::vector<KeyValue> items_;
    FeedUpdate update_;
    httplib::Server server_;
    int port_ = 0;
    Thread thread_;
};

/// Remembers whether a key was ever reported with an older revision than before.
class OrderListener : public RecordingListener
{
public:
    void changed(const std::vector<KeyChange> &changes) override
    {
        note(changes);
        RecordingListener::changed(changes);
    }

    void receivedFromPeer(const std::vector<KeyChange> &changes, bool confirmed) override
    {
        note(changes);
        RecordingListener::receivedFromPeer(changes, confirmed);
    }

    std::atomic<unsigned> steppedBack{ 0 };

private:
    void note(const std::vector<KeyChange> &changes)
    {
        for (const KeyChange &change : changes) {
            std::uint64_t &latest = latest_[change.item.key];
            steppedBack += change.item.revision < latest ? 1 : 0;
            latest = std::max(latest, change.item.revision);
        }
    }

    std::map<std::string, std::uint64_t> latest_;
};

/// A watcher of a store with two keys, and a neighbour that it asks while the store does not answer.
class PeerStateFixture
{
public:
    PeerStateFixture()
    {
        store.set("p/leaves", "1");
        store.set("p/stays", "1");
        watcher.start();
        REQUIRE(eventually([this] { return listener.has("p/stays"); }));
    }

    ~PeerStateFixture()
    {
        watcher.stop();
    }

    Neighbour neighbour;
    ScriptedStore store;
    OrderListener listener;
    PeerStateClient peers{ [this] { return std::vector<std::string>{ neighbour.address() }; } };
    StoreWatcher watcher{ "p/", store, listener, &peers };
};

} // namespace

TEST_CASE_FIXTURE(PeerStateFixture, "Peer state, older than a removal that this daemon saw, does not bring the removed item back")
{
    store.remove("p/leaves");
    REQUIRE(eventually([this] { return !listener.has("p/leaves"); }));
    neighbour.know({ { "p/leaves", "1", 1 }, { "p/stays", "1", 2 }, { "p/mark", "1", laterRevision } }, 2);
    store.setFailing(true);
    REQUIRE(eventually([this] { return listener.has("p/mark"); }));
    CHECK_FALSE(listener.has("p/leaves"));
    store.setFailing(false);
    store.set("p/after", "1");
    REQUIRE(eventually([this] { return listener.has("p/after"); }));
    CHECK_FALSE(listener.has("p/leaves"));
    for (const KeyValue &item : watcher.state().items) {
        CHECK(item.key != "p/leaves");
    }
}

TEST_CASE_FIXTURE(PeerStateFixture, "Peer state, newer and without an item, removes the item before the store answers again")
{
    neighbour.know({ { "p/stays", "1", 2 } }, 3);
    store.setFailing(true);
    CHECK(eventually([this] { return !listener.has("p/leaves"); }));
    CHECK(listener.has("p/stays"));
}

TEST_CASE_FIXTURE(PeerStateFixture, "Peer state, of another scope, removes nothing")
{
    class NorthOnly : public ChangeFilter
    {
    public:
        bool keeps(const KeyValue &) const override
        {
            return true;
        }
        const std::string &scope() const override
        {
            return scope_;
        }

    private:
        std::string scope_ = "north";
    };
    const NorthOnly filter;
    OrderListener northListener;
    StoreWatcher northWatcher("p/", store, northListener, &peers);
    northWatcher.setFilter(&filter);
    northWatcher.start();
    REQUIRE(eventually([&] { return northListener.has("p/leaves"); }));
    neighbour.know({ { "p/mark", "1", laterRevision } }, 3);
    store.setFailing(true);
    REQUIRE(eventually([&] { return northListener.has("p/mark"); }));
    CHECK(northListener.has("p/leaves"));
    northWatcher.stop();
}

TEST_CASE_FIXTURE(PeerStateFixture, "Peer state, newer than what the store then reports, is not undone by the older changes")
{
    neighbour.know({ { "p/stays", "3", 4 }, { "p/mark", "1", 5 } }, 6);
    store.setFailing(true);
    REQUIRE(eventually([this] { return listener.has("p/mark"); }));
    store.set("p/stays", "2");
    store.set("p/stays", "3");
    store.set("p/mark", "1");
    store.remove("p/leaves");
    store.set("p/after", "1");
    store.setFailing(false);
    REQUIRE(eventually([this] { return listener.has("p/after"); }));
    CHECK(listener.steppedBack == 0);
}

namespace {

constexpr const char *upstreamText = R"({"service":"m","address":"10.0.0.9:80","zone":"north-1","version":"v1","slots":8,
    "state":"ready","coldRemainingMs":0,"sequence":1})";
constexpr const char *orderText = R"({"targetVersion":"v2","durationS":60})";

/// A kind of record, and whether a view contains the record.
struct RecordKind
{
    std::string key;
    std::string value;
    std::function<bool(const FleetView &)> isIn;
};

std::vector<RecordKind> recordKinds()
{
    const LeasedRecord quarantine = quarantineRecord(*fingerprintFromHex(std::string(32, '7')));
    const LeasedRecord limit = limitRecord({ 7, 50.0 });
    return {
        { "servers/u", upstreamText, [](const FleetView &view) { return view.upstreams.find("u") != view.upstreams.end(); } },
        { "op/evacuate/north-1", "{}", [](const FleetView &view) { return view.evacuated.contains("north-1"); } },
        { quarantine.key, quarantine.text, [](const FleetView &view) { return !view.quarantined.empty(); } },
        { limit.key, limit.text, [](const FleetView &view) { return !view.upstreamLimits.empty(); } },
        { "op/rollout/m", orderText,
          [](const FleetView &view) {
              const auto rollout = view.rollouts.find("m");
              return rollout != view.rollouts.end() && rollout->second.order;
          } },
        { std::string(daemonRecordPrefix) + "d", encodeDaemonRecord(daemonIn("d", "north")),
          [](const FleetView &view) { return view.daemons.begin() != view.daemons.end(); } },
    };
}

/// A daemon's view of the fleet, kept by a watcher of a store and a neighbour.
class FleetPeerStateFixture
{
public:
    ~FleetPeerStateFixture()
    {
        watcher.stop();
    }

    bool views(const RecordKind &kind)
    {
        return kind.isIn(*view.read());
    }

    bool viewsMark()
    {
        return view.read()->evacuated.contains("mark");
    }

    Neighbour neighbour;
    ScriptedStore store;
    RcuCell<FleetView> view;
    FleetRegistry registry{ view, [] {} };
    FleetListener listener{ registry, { { "north-1", "north" } } };
    PeerStateClient peers{ [this] { return std::vector<std::string>{ neighbour.address() }; } };
    StoreWatcher watcher{ "", store, listener, &peers };
};

} // namespace

TEST_CASE("Fleet view, record of each kind that was removed, does not return with a neighbour's older state")
{
    for (const RecordKind &kind : recordKinds()) {
        FleetPeerStateFixture daemon;
        CAPTURE(kind.key);
        daemon.store.set(kind.key, kind.value);
        daemon.watcher.start();
        REQUIRE(eventually([&] { return daemon.views(kind); }));
        daemon.store.remove(kind.key);
        REQUIRE(eventually([&] { return !daemon.views(kind); }));
        daemon.neighbour.know({ { kind.key, kind.value, 1 }, { "op/evacuate/mark", "{}", laterRevision } }, 1);
        daemon.store.setFailing(true);
        REQUIRE(eventually([&] { return daemon.viewsMark(); }));
        CHECK_FALSE(daemon.views(kind));
    }
}

TEST_CASE(
    "Fleet view, upstream that a neighbour in contact with the store no longer has, is dropped after the grace for lost leases")
{
    RcuCell<FleetView> view;
    FleetRegistry registry(view, [] {});
    FleetListener listener(registry, { { "north-1", "north" } });
    const SteadyTime begin = BootClock::now();
    listener.onStoreAvailable();
    listener.listed({ { "servers/u", upstreamText, 1 } });
    listener.onStoreUnavailable({});
    listener.receivedFromPeer({ { { "servers/u", {}, 2 }, true } }, true);
    constexpr Millis longerThanGrace = 5s;
    const auto isViewed = [&view] { return view.read()->upstreams.find("u") != view.read()->upstreams.end(); };
    CHECK(isViewed());
    registry.tick(begin + longerThanGrace);
    CHECK(isViewed());
    registry.dropExpiredUpstreams(begin + longerThanGrace);
    CHECK_FALSE(isViewed());
}
