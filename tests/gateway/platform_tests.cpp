// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The platform adapter decodes valid input and reports malformed input as an error with a reason.

#include "platform/base64.h"
#include "platform/node_settings.h"
#include "platform/operator_config.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Portpaddle;

namespace {

const SteadyTime now{ std::chrono::hours(1) };

constexpr const char *configText = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"stream","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"m",
  "attempts":2,"sticky":true,"resumable":true,"gapTargetMs":400,"homeRegions":["north"]},
 {"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":12000.0,"targetLatencyMs":1000,"priority":1,
  "split":[{"service":"m","weight":90},{"service":"n","weight":10}],"attempts":1}],
 "services":[{"name":"m","healthPath":"/health","connectionLimit":620,"coldStartS":3.0,"coldPerS":3.5,
  "engine":{"slots":128,"kvCapacityTokens":656500,"stride":7}},{"name":"n","connectionLimit":100}],
 "limits":{"headerBytes":1000,"bodyBytes":2000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"unknown":{}})";

constexpr const char *settingsText = R"({"settings": {"nodeName":"front-1","ipAddress":"10.0.0.1","zone":"z1","region":"north",
 "internalPorts":[7000,7015],"zones":{"z1":"north","z2":"south"},
 "listenAddresses":{"frontend":"10.0.0.1:80","readiness":"10.0.0.1:81","directory":"10.0.0.1:82"},
 "limits":{"memoryMb":260,"fileDescriptors":4100},"platform":{"address":"10.9.0.1:8142","ttlMinMs":1000},
 "bounds":{"drainMs":3000,"graceS":8,"budgetRatio":0.2,"budgetWindowS":10,"budgetExtraAttempts":54,"coldOvershoot":1.5,"coldSlack":3,
 "ttl_max_s":5},"somethingNew":1} })";

} // namespace

TEST_CASE("Operator configuration, routes services and limits, are decoded")
{
    const auto parsed = parseOperatorConfig(configText);
    REQUIRE(isOk(parsed));
    const ServiceMap &map = *valueOf(parsed);
    CHECK(map.version == 7);
    const Route *stream = map.find("h.example", "/a/x");
    REQUIRE(stream != nullptr);
    CHECK(stream->kind == RouteKind::Stream);
    CHECK(stream->resumable);
    CHECK(stream->mayRunTwice());
    CHECK(stream->timeout == Millis(3'000));
    CHECK_FALSE(stream->allowsRegion("south"));
    CHECK(map.find("h.example", "/b/")->services.size() == 2);
    CHECK(map.service("m")->coldStart == Millis(3'000));
    CHECK(map.service("m")->memoryTokens == 656'500);
    CHECK_FALSE(map.service("n")->isModelEngine());
    CHECK(map.limits.headerBytes == 1'000);
}

TEST_CASE("Operator configuration, malformed text, is an error with a message")
{
    for (const char *text : { "", "{", "[]", R"({"version":1})", R"({"version":1,"routes":[{"name":"x"}],"services":[]})" }) {
        const auto parsed = parseOperatorConfig(text);
        REQUIRE_FALSE(isOk(parsed));
        CHECK(errorOf(parsed).code == ErrorCode::SettingsInvalid);
        CHECK_FALSE(errorOf(parsed).message.empty());
    }
}

TEST_CASE("Operator configuration, any truncation of a valid one, is rejected without a crash")
{
    const std::string text = configText;
    CHECK(rc::check([&] {
        const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
        RC_ASSERT(!isOk(parseOperatorConfig(text.substr(0, length))));
    }));
}

TEST_CASE("Upstream record, draining with remaining time, is leaving and has an end time")
{
    const auto parsed = parseUpstreamRecord(
        "i-1",
        R"({"service":"m","address":"10.0.0.9:80","zone":"z1","version":"v1","slots":128,"state":"draining","remainingMs":2000,
            "coldRemainingMs":0,"sequence":4})",
        { { "z1", "north" } }, now);
    REQUIRE(isOk(parsed));
    CHECK(valueOf(parsed).leaving);
    CHECK(valueOf(parsed).goneAt == now + Millis(2'000));
    CHECK(valueOf(parsed).region == "north");
}

TEST_CASE("Upstream record, cold start, is cold until its remaining time has passed")
{
    const auto parsed = parseUpstreamRecord(
        "i-1",
        R"({"service":"m","address":"10.0.0.9:80","zone":"z1","version":"v1","slots":128,"state":"ready","coldRemainingMs":3000,
            "sequence":4})",
        {}, now);
    REQUIRE(isOk(parsed));
    CHECK_FALSE(valueOf(parsed).leaving);
    CHECK(valueOf(parsed).coldUntil == now + Millis(3'000));
}

TEST_CASE("Upstream record, without an address, is an error")
{
    CHECK_FALSE(isOk(parseUpstreamRecord("i-1", R"({"service":"m"})", {}, now)));
}

TEST_CASE("Node settings, fields of the platform, are decoded into the fields of this project")
{
    const auto parsed = parseNodeSettings(settingsText);
    REQUIRE(isOk(parsed));
    const NodeSettings &settings = valueOf(parsed);
    CHECK(settings.dataCentre == "z1");
    CHECK(settings.linkAddress == "10.0.0.1:7000");
    CHECK(settings.stopBound == Millis(8'000));
    CHECK(settings.regionOfDataCentre.at("z2") == "south");
    CHECK(settings.maxDirectoryTtl == Millis(5'000));
}

TEST_CASE("Node settings, missing field, is an error that names it")
{
    const auto parsed = parseNodeSettings(R"({"settings":{}})");
    REQUIRE_FALSE(isOk(parsed));
    CHECK(errorOf(parsed).message.find("nodeName") != std::string::npos);
}

TEST_CASE("Base64, any bytes, are the same after encoding and decoding")
{
    CHECK(rc::check([](const std::string &bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); }));
    CHECK(encodeBase64("node-1") == "bm9kZS0x");
}
