// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon that was told of a newer configuration fetches it from the daemon that has it.

#include "portpaddle/store_following/configuration_catch_up.h"

#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/store_following/store_watcher.h"
#include "support/eventually.h"
#include "support/recording_listener.h"
#include "support/scripted_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>

#include <mutex>

using namespace Portpaddle;

namespace {

/// A daemon that has version 8 of the configuration, and one that does not answer before it.
class CatchUpFixture
{
public:
    CatchUpFixture()
    {
        server_.Get("/portpaddle/items", [this](const httplib::Request &request, httplib::Response &response) {
            const std::lock_guard lock(mutex_);
            prefixes_.push_back(request.get_param_value("prefix"));
            response.set_content(encodeState("newer", { { "op/config", "8", 1'000 } }, FeedUpdate{}), "application/octet-stream");
        });
        address = fmt::format("127.0.0.1:{}", server_.bind_to_any_port("127.0.0.1"));
        thread_ = Thread("newer", [this] { server_.listen_after_bind(); });
        store.set("op/config", "7");
        store.set("op/stays", "1");
        watcher.start();
        REQUIRE(eventually([this] { return listener.has("op/stays"); }));
        store.setFailing(true);
        catchUp.start();
    }

    ~CatchUpFixture()
    {
        watcher.stop();
        server_.stop();
        thread_.join();
    }

    std::vector<std::string> prefixes()
    {
        const std::lock_guard lock(mutex_);
        return prefixes_;
    }

    bool knows(const std::string &value)
    {
        for (const KeyValue &item : watcher.state().items) {
            if (item.key == "op/config") {
                return item.value == value;
            }
        }
        return false;
    }

    std::string address;
    ScriptedStore store;
    RecordingListener listener;
    StoreWatcher watcher{ "", store, listener };
    ConfigurationCatchUp catchUp{ "op/config", [this](PeerState peer) { watcher.takeItems(std::move(peer)); } };

private:
    std::mutex mutex_;
    std::vector<std::string> prefixes_;
    httplib::Server server_;
    Thread thread_;
};

} // namespace

TEST_CASE_FIXTURE(CatchUpFixture,
                  "Configuration, newer at another daemon while the store is silent, is taken and nothing else changes")
{
    catchUp.ask(address);
    CHECK(eventually([this] { return knows("8"); }));
    CHECK(prefixes().front() == "op/config");
    CHECK(listener.has("op/stays"));
}

TEST_CASE_FIXTURE(CatchUpFixture, "Configuration, a daemon that does not answer was asked before, is taken from the next one")
{
    catchUp.ask("127.0.0.1:1");
    CHECK(eventually([this] {
        catchUp.ask(address);
        return knows("8");
    }));
}

TEST_CASE_FIXTURE(CatchUpFixture, "Configuration, older at another daemon, does not replace the newer one")
{
    PeerState older;
    older.state.items = { { "op/config", "6", 0 } };
    watcher.takeItems(older);
    CHECK(knows("7"));
}
