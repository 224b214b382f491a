// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Several daemons in several regions, over real sockets.

#include "support/test_site.h"

#include <thread>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

class FleetSite : public TestSite
{
public:
    FleetSite()
    {
        addRegion("north", { { "south", 1 } });
        addRegion("south", { { "north", 1 } });
        settings["/organisations/bound"] = { { "residency", { "north" } } };
        north = &addEngine("north", "e-north", EngineStandInConfig{ .slots = 2 });
        south = &addEngine("south", "e-south", EngineStandInConfig{ .slots = 64 });
        desk = &addPlain("north", "p-north");
        applySettings();
        addDaemon("north-a", "north");
        addDaemon("north-b", "north");
        addDaemon("south-a", "south");
        REQUIRE(settle());
    }

    /// Fills the northern engine with streams that last until they are released.
    void fillNorth()
    {
        north->holdAt(1);
        for (int index = 0; index < 3; ++index) {
            holders_.emplace_back([this] {
                httplib::Client client = caller(0, "bound-key");
                client.Post("/v1/chat/completions", chatBody("holder", 2, true), "application/json");
            });
        }
        REQUIRE(eventually([&] {
            const std::shared_ptr<const RoutingSnapshot> snapshot = daemons[0]->board().routing.read();
            return snapshot->upstreams.front().load.running >= 2 || snapshot->upstreams.back().load.running >= 2;
        }));
    }

    ~FleetSite()
    {
        north->holdAt(std::nullopt);
        south->holdAt(std::nullopt);
        for (std::thread &holder : holders_) {
            holder.join();
        }
    }

    EngineStandIn *north = nullptr;
    EngineStandIn *south = nullptr;
    PlainStandIn *desk = nullptr;

private:
    std::vector<std::thread> holders_;
};

} // namespace

TEST_CASE_FIXTURE(FleetSite, "Fleet, own engines full, request is served completely by the other region")
{
    fillNorth();
    const httplib::Result reply = caller(0).Post("/v1/chat/completions", chatBody("away", 8, true), "application/json");
    REQUIRE(reply);
    CHECK(textOf(reply->body) == EngineStandIn::answerText("away", 8));
    CHECK(south->started() == 1);
    // Any VM explains the request, here one of another region.
    const std::optional<std::string> explained = daemons[2]->findExplanation(reply->get_header_value("X-Request-Id"));
    REQUIRE(explained.has_value());
    CHECK(nlohmann::json::parse(*explained)["steps"].back()["verdict"] == "forward");
}

TEST_CASE_FIXTURE(FleetSite,
                  "Fleet, bound request with its region full, is queued and not forwarded, and its trace stays in the region")
{
    fillNorth();
    std::string id;
    std::thread waiting([&] {
        const httplib::Result reply
            = caller(1, "bound-key").Post("/v1/chat/completions", chatBody("mine", 3, true), "application/json");
        CHECK(reply);
        id = reply->get_header_value("X-Request-Id");
    });
    north->holdAt(std::nullopt);
    waiting.join();
    CHECK(south->started() == 0);
    CHECK(daemons[0]->findExplanation(id).has_value());
    CHECK(!daemons[2]->findExplanation(id).has_value());
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, serving region fails in the middle, stream resumes in the own region where it broke")
{
    fillNorth();
    south->holdAt(4);
    std::string text;
    std::thread reader([&] {
        const httplib::Result reply = caller(0).Post("/v1/chat/completions", chatBody("away", 8, true), "application/json");
        CHECK(reply);
        text = reply ? textOf(reply->body) : "";
    });
    south->awaitRunning(1);
    REQUIRE(eventually([&] { return south->tokensProduced() == 4; }));
    south->breakAfter(0);
    south->holdAt(std::nullopt);
    north->holdAt(std::nullopt);
    reader.join();
    CHECK(text == EngineStandIn::answerText("away", 8));
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, same key through two entry VMs at once, runs once")
{
    desk->setFault(PlainFault::Hold);
    std::atomic<int> served{ 0 };
    std::atomic<int> refused{ 0 };
    std::vector<std::thread> threads;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        threads.emplace_back([&, daemon] {
            const httplib::Result reply = caller(daemon).Post("/desk/confirm", httplib::Headers{ { "Idempotency-Key", "once" } },
                                                              "{}", "application/json");
            served += reply && reply->status == 200 ? 1 : 0;
            refused += reply && reply->status == 409 ? 1 : 0;
        });
    }
    REQUIRE(eventually([&] { return refused == 1; }));
    desk->setFault(PlainFault::None);
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(served == 1);
    CHECK(desk->runs("once") == 1);
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, change proposed at one VM, becomes active at all VMs, and versions only increase")
{
    ChangeProposal proposal;
    proposal.changeId = "c";
    proposal.author = "op";
    proposal.reason = "r";
    proposal.patch = { PatchEntry{ "/", "hop_limit", 1 } };
    const Result<SettingsChange> accepted = daemons[2]->proposeSettings(proposal);
    REQUIRE(isOk(accepted));
    const std::uint64_t version = valueOf(accepted).version;
    for (auto &daemon : daemons) {
        CHECK(eventually([&] { return daemon->board().settings.read()->version() >= version; }));
    }
    SettingsChange stale = valueOf(accepted);
    stale.version = version - 1;
    CHECK(!daemons[0]->settings().takeChanges({ stale }));
    CHECK(daemons[0]->settings().version() == version);
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, platform down, serving continues and a new VM starts from its peers' data")
{
    platform.platform().setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    Daemon &fresh = addDaemon("north-c", "north");
    CHECK(eventually([&] { return fresh.settings().version() == daemons[0]->settings().version(); }));
    CHECK(caller(0).Get("/v1/models")->status != 200);
    platform.platform().setFaults({});
    CHECK(eventually([&] { return fresh.board().platform.read()->reachable || daemons[0]->board().platform.read()->reachable; }));
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, planned stop, finishes the stream in progress, refuses new work and leaves the entry list")
{
    north->holdAt(2);
    std::string text;
    std::thread reader([&] {
        const httplib::Result reply = caller(0).Post("/v1/chat/completions", chatBody("kept", 6, true), "application/json");
        text = reply ? textOf(reply->body) : "cut";
    });
    north->awaitRunning(1);
    std::thread stopping([&] { daemons[0]->stopGracefully(); });
    REQUIRE(eventually([&] { return daemons[0]->board().draining.load(); }));
    const httplib::Result refused = caller(0).Post("/v1/chat/completions", chatBody("new", 1, true), "application/json");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(nlohmann::json::parse(refused->body)["error"]["run"] == "not_run");
    CHECK(eventually([&] {
        const httplib::Result list = caller(1).Get("/portpaddle/entries");
        return list && list->body.find("north-a") == std::string::npos;
    }));
    north->holdAt(std::nullopt);
    stopping.join();
    reader.join();
    CHECK(text == EngineStandIn::answerText("kept", 6));
}

TEST_CASE_FIXTURE(FleetSite, "Fleet, daemon fails, others remove it from the entry list")
{
    daemons[1]->membership().stop();
    CHECK(eventually([&] {
        const httplib::Result list = caller(0).Get("/portpaddle/entries");
        return list && list->body.find("north-b") == std::string::npos;
    }));
}

TEST_CASE_FIXTURE(FleetSite,
                  "Operator, settings proposed and reverted over the admin listener, make new versions and bad ones are refused")
{
    httplib::Client client("127.0.0.1", addresses[0].admin.port);
    client.set_bearer_token_auth("operator-key-for-tests");
    const auto post = [&](const std::string &path, nlohmann::json body) {
        body["author"] = "op";
        body["reason"] = "test";
        body["change_id"] = "id-" + std::to_string(random.next());
        const httplib::Result reply = client.Post(path, body.dump(), "application/json");
        REQUIRE(reply);
        return std::make_pair(reply->status, nlohmann::json::parse(reply->body));
    };
    const std::uint64_t before = daemons[0]->settings().version();
    const auto [status, change] = post("/admin/settings", { { "patch", { { "/", { { "hop_limit", 1 } } } } } });
    CHECK(status == 200);
    CHECK(change["version"] == before + 1);
    CHECK(daemons[0]->board().settings.read()->policy("shop", "m").hopLimit == 1);
    CHECK(post("/admin/settings/revert", { { "version", before } }).second["version"] == before + 2);
    CHECK(daemons[0]->board().settings.read()->policy("shop", "m").hopLimit == 2);
    CHECK(post("/admin/settings", { { "patch", { { "/", { { "hop_limt", 1 } } } } } })
              .second["error"]["message"]
              .dump()
              .find("hop_limit")
          != std::string::npos);
    CHECK(post("/admin/settings/revert", { { "version", 999 } }).first == 404);
    const httplib::Result noAuthor = client.Post("/admin/settings", "[]", "application/json");
    CHECK(noAuthor->status == 400);
    CHECK(daemons[0]->settings().version() == before + 2);
}
