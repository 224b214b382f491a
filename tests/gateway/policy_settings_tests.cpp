// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Parsing of the settings by which an operator changes weights and mechanisms.

#include "portpaddle/gateway/policy_settings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Portpaddle;
using Json = nlohmann::json;

TEST_CASE("Policy settings, nothing set, are the defaults")
{
    const Result<PolicySettings> settings = parsePolicy(Json::object());
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).fetching);
    CHECK(valueOf(settings).weights.lateMs == PlacementWeights{}.lateMs);
}

TEST_CASE("Policy settings, known names with valid values, take effect")
{
    const Result<PolicySettings> settings = parsePolicy(Json{ { "fetching", false }, { "late_ms", 700 } });
    REQUIRE(isOk(settings));
    CHECK_FALSE(valueOf(settings).fetching);
    CHECK(valueOf(settings).weights.lateMs == 700);
}

TEST_CASE("Policy settings, unknown name or wrong value, are rejected")
{
    for (const Json &json : { Json{ { "no_such", 1 } }, Json{ { "late_ms", -1 } }, Json{ { "late_ms", true } },
                              Json{ { "fetching", 1 } }, Json{ { "late_ms", 1e9 } }, Json(3) }) {
        CHECK_MESSAGE(!isOk(parsePolicy(json)), json.dump());
    }
}
