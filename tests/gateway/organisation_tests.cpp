// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Authorisation by keys of organisations, and the headers that upstreams and other daemons get.

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace Portpaddle;

namespace {

constexpr const char *shopKeyHeader = "Authorization: Bearer key-of-shop\r\n";

Organisation organisation(const std::string &name)
{
    Organisation result;
    result.name = name;
    return result;
}

/// A configuration with one organisation, "shop", and an additional public route.
class ShopFixture : public GatewaySite
{
public:
    ShopFixture() : upstream(echo)
    {
        addUpstream("u1", upstream.address());
        Route publicRoute = routes.routes.front();
        publicRoute.pathPrefix = "/open/";
        publicRoute.isPublic = true;
        routes.routes.push_back(publicRoute);
        publishShop(organisation("shop"));
    }

    /// Replaces all organisations.
    void publishShop(Organisation shop, const std::vector<std::string> &keys = { "key-of-shop" })
    {
        routes.organisations = OrganisationTable{};
        routes.organisations.add(std::move(shop), keys);
        publishRoutes();
    }

    /// Returns the value of @p header (lower case) in the last request at the upstream; empty if absent.
    std::string seen(const std::string &header) const
    {
        const std::vector<SeenRequest> requests = upstream.seen();
        REQUIRE_FALSE(requests.empty());
        const auto found = requests.back().headers.find(header);
        return found == requests.back().headers.end() ? std::string() : found->second;
    }

    ScriptedUpstream upstream;
};

} // namespace

TEST_CASE_FIXTURE(ShopFixture, "Key, valid, is removed and the organisation header is set")
{
    CHECK(ask("/plain/a", "id1", shopKeyHeader).status == 200);
    CHECK(seen("x-organisation") == "shop");
    CHECK(seen("authorization").empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Key, scheme in lower case, is accepted")
{
    CHECK(ask("/plain/a", "id1", "authorization: bearer key-of-shop\r\n").status == 200);
}

TEST_CASE_FIXTURE(ShopFixture, "Organisation, named by the caller, is replaced by that of the key")
{
    CHECK(
        ask("/plain/a", "id1", std::string(shopKeyHeader) + "X-Organisation: bank\r\nX-Portpaddle-Organisation: bank\r\n").status
        == 200);
    CHECK(seen("x-organisation") == "shop");
    CHECK(seen("x-portpaddle-organisation").empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Key, unknown, missing or malformed, is answered with 401 and the request does not run")
{
    const std::string tooLong(longestKey + 1, 'k');
    for (const std::string &header :
         { std::string(), std::string("Authorization: Bearer other\r\n"), std::string("Authorization: Bearer \r\n"),
           std::string("Authorization: key-of-shop\r\n"), std::string("Authorization: Basic key-of-shop\r\n"),
           "Authorization: Bearer " + tooLong + "\r\n" }) {
        CAPTURE(header);
        CHECK(ask("/plain/a", "id1", header).status == 401);
    }
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Public route, without a key or with an unknown one, is served without an organisation")
{
    CHECK(ask("/open/a", "id1").status == 200);
    CHECK(seen("x-organisation").empty());
    CHECK(ask("/open/a", "id2", "Authorization: Bearer other\r\n").status == 200);
    CHECK(seen("authorization").empty());
}

TEST_CASE_FIXTURE(GatewaySite, "Configuration without organisations, any key, is served and passes the header on")
{
    ScriptedUpstream upstream(echo);
    addUpstream("u1", upstream.address());
    CHECK(ask("/plain/a", "id1", "Authorization: Bearer other\r\n").status == 200);
    CHECK(upstream.seen().back().headers.at("authorization") == "Bearer other");
}

TEST_CASE("Daemon without a configuration, any key, answers 503 and neither 401 nor 404")
{
    GatewaySite site(GatewaySite::Routes::Unknown);
    CHECK(site.ask("/plain/a", "id1", "Authorization: Bearer other\r\n").status == 503);
    CHECK(site.ask("/nowhere/a", "id2").status == 503);
}

TEST_CASE_FIXTURE(ShopFixture, "Revoked key, connection that stays open, is answered with 401 on its next request")
{
    RawCaller caller(address());
    caller.send(request("/plain/a", "id1", shopKeyHeader));
    CHECK(caller.receive().status == 200);
    publishShop(organisation("shop"), { "key-two" });
    caller.send(request("/plain/a", "id2", shopKeyHeader));
    CHECK(caller.receive().status == 401);
}

TEST_CASE_FIXTURE(ShopFixture, "Relayed request, organisation named by the daemon, is run for that organisation")
{
    CHECK(askAsDaemon("/plain/a", "id1", "X-Portpaddle-Organisation: shop\r\n").status == 200);
    CHECK(seen("x-organisation") == "shop");
    CHECK(seen("x-portpaddle-organisation").empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Relayed request, with a key in place of an organisation, is refused as not run")
{
    const SeenAnswer answer = askAsDaemon("/plain/a", "id1", shopKeyHeader);
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Organisation with other home region, only an upstream of this region, does not run here")
{
    Organisation shop = organisation("shop");
    shop.homeRegions = { "east" };
    publishShop(shop);
    CHECK(ask("/plain/a", "id1", shopKeyHeader).status == 503);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(ShopFixture, "Organisation with other home region, daemon there, is relayed without its key")
{
    ScriptedUpstream daemon(echo);
    addRemoteDaemon("e1", "east", daemon.address(), {});
    Organisation shop = organisation("shop");
    shop.homeRegions = { "east" };
    publishShop(shop);
    CHECK(ask("/plain/a", "id1", shopKeyHeader).status == 200);
    REQUIRE(daemon.seen().size() == 1);
    const auto headers = daemon.seen().front().headers;
    CHECK(headers.at("x-portpaddle-organisation") == "shop");
    CHECK_FALSE(headers.contains("authorization"));
}

TEST_CASE_FIXTURE(ShopFixture, "Home regions of route and organisation, disjoint, are refused at once")
{
    Organisation shop = organisation("shop");
    shop.homeRegions = { "east" };
    for (Route &route : routes.routes) {
        route.homeRegions = { "north" };
    }
    publishShop(shop);
    const SeenAnswer answer = ask("/plain/a", "id1", shopKeyHeader);
    CHECK(answer.status == 503);
    CHECK(answer.body.find("no region may serve both") != std::string::npos);
}

TEST_CASE_FIXTURE(ShopFixture, "Priority, of the organisation, overrides that of the route")
{
    Organisation shop = organisation("shop");
    shop.priority = 2;
    publishShop(shop);
    CHECK(ask("/plain/a", "id1", shopKeyHeader).status == 200);
    CHECK(seen("x-priority") == "2");
}

TEST_CASE_FIXTURE(ShopFixture, "Limit, far exceeded by a burst, is answered with 429 and Retry-After")
{
    Organisation shop = organisation("shop");
    shop.limit.perSecond = 0.001;
    shop.limit.burst = 1;
    publishShop(shop);
    unsigned refused = 0;
    for (int index = 0; index < 40; ++index) {
        const SeenAnswer answer = ask("/plain/a", "id" + std::to_string(index), shopKeyHeader);
        if (answer.status == 429) {
            ++refused;
            CHECK(answer.head.find("Retry-After: ") != std::string::npos);
        } else {
            CHECK(answer.status == 200);
        }
    }
    CHECK(refused > 20);
    CHECK(upstream.seen().size() == 40 - refused);
}

TEST_CASE_FIXTURE(ShopFixture, "Limit, refusal without any room, names the urgency and a Retry-After beyond the deadline")
{
    // Guards against callers that wait in vain and return to a second refusal.
    Organisation shop = organisation("shop");
    shop.limit.perSecond = 0.001;
    shop.limit.burst = 1;
    publishShop(shop);
    SeenAnswer last;
    for (int index = 0; index < 40; ++index) {
        last = ask("/plain/a", "id" + std::to_string(index), shopKeyHeader);
    }
    REQUIRE(last.status == 429);
    CHECK(last.body.find("of the urgent demand is admitted") != std::string::npos);
    const std::string name = "Retry-After: ";
    const double seconds = std::stod(last.head.substr(last.head.find(name) + name.size()));
    CHECK(seconds > std::chrono::duration<double>(routes.routes.front().timeout).count() - 1);
}

TEST_CASE("Organisations, invalid keys and duplicate names or keys, are rejected")
{
    OrganisationTable table;
    table.add(organisation("shop"), { "a", "b" });
    CHECK_THROWS_AS(table.add(organisation("shop"), {}), std::invalid_argument);
    CHECK_THROWS_AS(table.add(organisation("bank"), { "a" }), std::invalid_argument);
    CHECK_THROWS_AS(table.add(organisation("mill"), { "" }), std::invalid_argument);
    CHECK_THROWS_AS(table.add(organisation("fair"), { std::string(longestKey + 1, 'k') }), std::invalid_argument);
    CHECK(table.findByAuthorization("Bearer b")->name == "shop");
    CHECK(table.findByAuthorization("Bearer c") == nullptr);
}
