// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// How soon a daemon learns of a configuration where the daemons that it follows or asks have fallen silent.

#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/relayed_store.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/eventually.h"
#include "support/recording_listener.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <list>
#include <memory>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

// A configuration takes effect within this time after the store has confirmed it.
constexpr std::chrono::milliseconds configurationBound{ 3'000 };

/// Daemons that do not answer: each request to one of them takes as long as a client waits, on the simulated clock.
class SilentDaemons
{
public:
    SilentDaemons(std::size_t count, std::chrono::milliseconds patience) : patience_(patience)
    {
        for (std::size_t index = 0; index < count; ++index) {
            add();
        }
    }

    ~SilentDaemons()
    {
        for (const auto &server : servers_) {
            eventually([&server] { return server->is_running(); });
            server->stop();
        }
    }

    /// Returns the number of requests that the daemons have received.
    std::size_t asked()
    {
        const std::lock_guard lock(mutex_);
        return waits_.size();
    }

    std::vector<std::string> addresses() const
    {
        return addresses_;
    }

private:
    void add()
    {
        servers_.push_back(std::make_unique<httplib::Server>());
        httplib::Server *server = servers_.back().get();
        server->Get(".*", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(mutex_);
            waits_.emplace_back(patience_);
            response.status = 500;
        });
        addresses_.push_back("127.0.0.1:" + std::to_string(server->bind_to_any_port("127.0.0.1")));
        threads_.emplace_back("silent", [server] { server->listen_after_bind(); });
    }

    std::chrono::milliseconds patience_;
    std::mutex mutex_;
    std::list<Suspension> waits_;
    std::vector<std::unique_ptr<httplib::Server>> servers_;
    std::vector<std::string> addresses_;
    std::list<Thread> threads_;
};

/// A store that counts how often its open connection is closed.
class ReconnectedStore : public ScriptedStore
{
public:
    void interrupt() override
    {
        ++interrupts;
        ScriptedStore::interrupt();
    }

    unsigned interrupts = 0;
};

} // namespace

TEST_CASE("Relayed store, several silent sources at once, does not miss the bound of a configuration that the store has")
{
    // A source may hold a request for a second; the client waits for a little longer.
    SilentDaemons sources(6, maxFeedWait + 700ms);
    ScriptedStore store;
    store.set("op/config", "new");
    const FollowRole role{ false, sources.addresses() };
    RelayedStore relayed(store, [&role] { return role; });
    const SteadyTime begin = BootClock::now();
    const Result<KeyChanges> changes = relayed.follow("", 0, 100ms);
    REQUIRE(isOk(changes));
    CHECK(valueOf(changes).changes.size() == 1);
    CHECK(BootClock::now() - begin < configurationBound);
}

TEST_CASE("Relayed store, open connection to a source gone silent, calls the store over a new connection")
{
    std::list<Suspension> waits;
    ScriptedUpstream source([&waits](const SeenRequest &) {
        waits.emplace_back(maxFeedWait + 700ms);
        return ScriptedAnswer{ {}, ScriptedAnswer::Then::Reset };
    });
    ReconnectedStore store;
    store.set("op/config", "new");
    const FollowRole role{ false, { source.address() } };
    RelayedStore relayed(store, [&role] { return role; });
    CHECK(isOk(relayed.follow("", 0, 100ms)));
    CHECK(store.interrupts == 1);
}

TEST_CASE("Store watcher, lost answer beside silent peers, asks the store again before the peers")
{
    // A peer is given this long to connect and to answer.
    SilentDaemons silent(3, 800ms);
    const PeerStateClient peers([&silent] { return silent.addresses(); });
    ScriptedStore store;
    store.set("op/config", "old");
    RecordingListener listener;
    StoreWatcher watcher("", store, listener, &peers, &store);
    watcher.start();
    REQUIRE(eventually([&] { return listener.has("op/config"); }));
    store.loseNextAnswer();
    store.set("op/added", "new");
    CHECK(eventually([&] { return listener.has("op/added"); }));
    CHECK(silent.asked() == 0);
}

namespace {

/// A watcher whose open call the store has taken while it is silent.
class SilentStoreFixture
{
public:
    SilentStoreFixture() : watcher("", store, listener, nullptr, &store)
    {
        store.set("op/config", "old");
        watcher.start();
        CHECK(eventually([this] { return listener.has("op/config"); }));
        store.setSilent(true);
        CHECK(eventually([this] { return store.lostCalls() == 1; }));
    }

    ~SilentStoreFixture()
    {
        // A call that hangs would keep the watcher from its end.
        store.setSilent(false);
        store.interrupt();
    }

    ScriptedStore store;
    RecordingListener listener;
    StoreWatcher watcher;
};

} // namespace

TEST_CASE_FIXTURE(SilentStoreFixture, "Store watcher, store silent on an open call, counts as out of contact")
{
    CHECK(eventually([this] { return listener.unavailableCount == 1; }));
    store.setSilent(false);
    CHECK(eventually([this] { return listener.availableCount == 2; }));
}

TEST_CASE_FIXTURE(SilentStoreFixture, "Store watcher, call lost in an outage, is replaced though cheap reads stay old")
{
    store.holdCheapReads();
    CHECK(eventually([this] { return store.lostCalls() == 0; }));
    store.set("op/added", "new");
    store.setSilent(false);
    CHECK(eventually([this] { return listener.has("op/added"); }));
}
