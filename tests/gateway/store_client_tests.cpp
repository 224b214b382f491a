// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The client of the platform store against a scripted server that speaks the store protocol.

#include "platform/base64.h"
#include "platform/store_client.h"
#include "portpaddle/base/thread.h"
#include "support/eventually.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>

using namespace Portpaddle;

namespace {

using Json = nlohmann::json;

Json item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {
        { "privateKey", key }, { "value", encodeBase64(value) }, { "revision", revision }, { "created", revision }, { "lease", 0 }
    };
}

/// A store server whose answers are scripted by each test.
class StoreFixture
{
public:
    StoreFixture()
    {
        port = server.bind_to_any_port("127.0.0.1");
        thread = Thread("store", [this] { server.listen_after_bind(); });
        client = std::make_unique<StoreClient>(SocketAddress{ "127.0.0.1", static_cast<std::uint16_t>(port) });
    }

    ~StoreFixture()
    {
        // A stop before the server listens would be lost.
        eventually([this] { return server.is_running(); });
        server.stop();
        thread.join();
    }

    httplib::Server server;
    int port = 0;
    Thread thread;
    std::unique_ptr<StoreClient> client;
};

void answer(httplib::Response &response, const Json &body)
{
    response.set_content(body.dump(), "application/json");
}

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "Store client, listing in pages, returns all items and the revision of the first page")
{
    server.Get("/v1/kv-range", [](const httplib::Request &request, httplib::Response &response) {
        const bool first = !request.has_param("after");
        CHECK(request.get_param_value("pathPrefix") == "p/");
        answer(response,
               first ? Json{ { "items", { item("p/a", "1", 3) } }, { "morePages", true }, { "storeRevision", 10 } }
                     : Json{ { "items", { item("p/b", "2", 4) } }, { "morePages", false }, { "storeRevision", 12 } });
    });
    const auto listing = client->listAll("p/", ReadFreshness::Newest);
    REQUIRE(isOk(listing));
    CHECK(valueOf(listing).items.size() == 2);
    CHECK(valueOf(listing).items[1].value == "2");
    CHECK(valueOf(listing).revision == 10);
}

// Guards against a call without end, whose listing takes more and more memory.
TEST_CASE_FIXTURE(StoreFixture, "Store client, listing whose pages do not advance, is an unavailable store")
{
    for (const Json &items : { Json::array({ item("p/a", "1", 3) }), Json::array() }) {
        CAPTURE(items.dump());
        std::atomic<unsigned> calls{ 0 };
        server.Get("/v1/kv-range", [&calls, &items](const httplib::Request &request, httplib::Response &response) {
            constexpr unsigned hangBound = 100;
            const bool first = !request.has_param("after");
            answer(response,
                   { { "items", first ? Json::array({ item("p/a", "1", 3) }) : items },
                     { "morePages", ++calls < hangBound },
                     { "storeRevision", 10 } });
        });
        const auto listing = client->listAll("p/", ReadFreshness::Newest);
        REQUIRE_FALSE(isOk(listing));
        CHECK(errorOf(listing).code == ErrorCode::PlatformUnavailable);
        CHECK(calls == 2);
    }
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, changes, distinguish writes and removals")
{
    server.Get("/v1/kv-watch", [](const httplib::Request &request, httplib::Response &response) {
        CHECK(request.get_param_value("after") == "7");
        CHECK(request.get_param_value("waitMs") == "100");
        answer(response,
               { { "events", { item("p/a", "new", 8), { { "privateKey", "p/b" }, { "revision", 9 }, { "deleted", true } } } },
                 { "storeRevision", 9 } });
    });
    const auto changes = client->follow("p/", 7, Millis(100));
    REQUIRE(isOk(changes));
    CHECK(valueOf(changes).changes[0].item.value == "new");
    CHECK(valueOf(changes).changes[1].removed);
    CHECK(valueOf(changes).revision == 9);
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, error statuses, become the matching error codes")
{
    int status = 0;
    server.Get("/v1/kv-watch", [&](const httplib::Request &, httplib::Response &response) { response.status = status; });
    const auto code = [&](int answered) {
        status = answered;
        return errorOf(client->follow("", 1, Millis(10))).code;
    };
    CHECK(code(410) == ErrorCode::HistoryCompacted);
    CHECK(code(404) == ErrorCode::NotFound);
    CHECK(code(429) == ErrorCode::PlatformUnavailable);
    CHECK(code(503) == ErrorCode::PlatformUnavailable);
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, answers of another form, are errors and no exceptions")
{
    std::string body;
    const auto reply
        = [&body](const httplib::Request &, httplib::Response &response) { response.set_content(body, "application/json"); };
    server.Get("/v1/kv-key", reply);
    server.Get("/v1/kv-range", reply);
    server.Get("/v1/kv-watch", reply);
    server.Post("/v1/kv-lease", reply);
    server.Post("/v1/kv-txn", reply);
    const std::vector<std::string> bodies{ "[]", "7", R"({"storeRevision":"x","lease":"x","revision":"x"})" };
    for (const std::string &each : bodies) {
        CAPTURE(each);
        body = each;
        CHECK_FALSE(isOk(client->newestRevision(ReadFreshness::MayBeStale)));
        CHECK_FALSE(isOk(client->listAll("", ReadFreshness::Newest)));
        CHECK_FALSE(isOk(client->follow("", 1, Millis(10))));
        CHECK_FALSE(isOk(client->grantLease(Millis(100))));
        CHECK_FALSE(isOk(client->write("k", "v", 0)));
        CHECK_FALSE(isOk(client->writeIfUnchanged({ "k", "v", 1 }, { { "k", "w" } })));
    }
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, leases and writes, use the endpoints of the protocol")
{
    Json written;
    server.Post("/v1/kv-lease", [](const httplib::Request &request, httplib::Response &response) {
        answer(response, { { "lease", 77 }, { "ttlMs", Json::parse(request.body).at("ttlMs") } });
    });
    server.Post("/v1/kv-keep/77", [](const httplib::Request &, httplib::Response &response) {
        answer(response, { { "ttlMs", 3000 } });
    });
    server.Post("/v1/kv-txn", [&](const httplib::Request &request, httplib::Response &response) {
        written = Json::parse(request.body);
        answer(response, { { "revision", 12 } });
    });
    const auto lease = client->grantLease(Millis(3'000));
    REQUIRE(isOk(lease));
    CHECK(valueOf(lease).id == 77);
    CHECK(isOk(client->keepLease(77)));
    CHECK(errorOf(client->keepLease(78)).code == ErrorCode::NotFound);
    CHECK(isOk(client->write("p/a", "value", 77)));
    CHECK(written.at("puts").at(0).at("lease") == 77);
    CHECK(decodeBase64(written.at("puts").at(0).at("value")) == "value");
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, write answered without JSON, may have run")
{
    server.Post("/v1/kv-txn",
                [](const httplib::Request &, httplib::Response &response) { response.set_content("?", "text/plain"); });
    const auto result = client->write("p/a", "value", 0);
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).run == RunState::MayHaveRun);
}

TEST_CASE_FIXTURE(StoreFixture, "Store client, waiting call, is ended by an interruption from another thread")
{
    std::atomic<bool> waiting{ false };
    std::atomic<bool> release{ false };
    server.Get("/v1/kv-watch", [&](const httplib::Request &, httplib::Response &response) {
        waiting = true;
        eventually([&] { return release.load(); });
        answer(response, { { "events", Json::array() }, { "storeRevision", 1 } });
    });
    std::atomic<bool> failed{ false };
    Thread caller("caller", [&] { failed = !isOk(client->follow("", 1, Millis(60'000))); });
    CHECK(eventually([&] { return waiting.load(); }));
    client->interrupt();
    CHECK(eventually([&] { return failed.load(); }));
    release = true;
}

TEST_CASE("Store client, answer without end, is given up")
{
    const ScriptedUpstream endless([](const SeenRequest &) {
        return ScriptedAnswer{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ScriptedAnswer::Then::KeepOpen, [] {},
                               std::string(64 * 1024, ' ') };
    });
    const std::string address = endless.address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    StoreClient client(SocketAddress{ "127.0.0.1", port });
    CHECK_FALSE(isOk(client.newestRevision(ReadFreshness::MayBeStale)));
    CHECK(eventually([&endless] { return endless.closedByPeer() == 1; }));
}
