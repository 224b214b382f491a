// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/policy_settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace Portpaddle {

namespace {

struct NumberSetting
{
    const char *name;
    double PlacementWeights::*member;
    double most;
};

struct SwitchSetting
{
    const char *name;
    bool PolicySettings::*member;
};

// Delays of a minute outweigh everything; multiples of a thousand do as well.
constexpr double mostMs = 60'000;
constexpr double mostMultiple = 1'000;

constexpr std::array numbers{
    NumberSetting{ "away_ms", &PlacementWeights::awayMs, mostMs },
    NumberSetting{ "connect_ms", &PlacementWeights::connectMs, mostMs },
    NumberSetting{ "failure_ms", &PlacementWeights::failureMs, mostMs },
    NumberSetting{ "fetching_share", &PlacementWeights::fetchingShare, mostMultiple },
    NumberSetting{ "first_token_bound", &PlacementWeights::firstTokenBound, mostMultiple },
    NumberSetting{ "late_ms", &PlacementWeights::lateMs, mostMs },
    NumberSetting{ "reading_per_running", &PlacementWeights::readingPerRunning, mostMultiple },
    NumberSetting{ "reading_share", &PlacementWeights::readingShare, mostMultiple },
    NumberSetting{ "streaming_share", &PlacementWeights::streamingShare, mostMultiple },
    NumberSetting{ "whole_margin", &PlacementWeights::wholeMargin, mostMultiple },
};

constexpr std::array switches{
    SwitchSetting{ "avoid_failing", &PolicySettings::avoidFailing },
    SwitchSetting{ "avoid_silent", &PolicySettings::avoidSilent },
    SwitchSetting{ "cold_at_home", &PolicySettings::coldAtHome },
    SwitchSetting{ "fetching", &PolicySettings::fetching },
    SwitchSetting{ "late_last", &PolicySettings::lateLast },
    SwitchSetting{ "learned_slowness", &PolicySettings::learnedSlowness },
    SwitchSetting{ "moves", &PolicySettings::moves },
    SwitchSetting{ "prompt_homes", &PolicySettings::promptHomes },
    SwitchSetting{ "told_parts", &PolicySettings::toldParts },
};

Error invalid(std::string message)
{
    return Error{ ErrorCode::SettingsInvalid, "policy: " + std::move(message), RunState::NotRun, {} };
}

template<typename Table>
auto findByName(const Table &table, const std::string &name)
{
    return std::find_if(table.begin(), table.end(), [&name](const auto &entry) { return name == entry.name; });
}

Status take(PolicySettings &settings, const std::string &name, const nlohmann::json &value)
{
    const auto number = findByName(numbers, name);
    if (number != numbers.end()) {
        if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > number->most) {
            return invalid(fmt::format("{} has to be a number from 0 to {}", name, number->most));
        }
        settings.weights.*(number->member) = value.get<double>();
        return success();
    }
    const auto flag = findByName(switches, name);
    if (flag == switches.end()) {
        return invalid("there is no setting " + name);
    }
    if (!value.is_boolean()) {
        return invalid(name + " has to be true or false");
    }
    settings.*(flag->member) = value.get<bool>();
    return success();
}

} // namespace

Result<PolicySettings> parsePolicy(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return invalid("it has to be an object");
    }
    PolicySettings settings;
    for (const auto &[name, value] : json.items()) {
        const Status taken = take(settings, name, value);
        if (!isOk(taken)) {
            return errorOf(taken);
        }
    }
    return settings;
}

} // namespace Portpaddle
