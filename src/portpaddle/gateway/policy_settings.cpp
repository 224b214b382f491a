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
    const char *meaning;
};

struct SwitchSetting
{
    const char *name;
    bool PolicySettings::*member;
    const char *meaning;
};

// Delays of a minute outweigh everything; multiples of a thousand do as well.
constexpr double maxMs = 60'000;
constexpr double maxMultiple = 1'000;

constexpr std::array numbers{
    NumberSetting{ "away_ms", &PlacementWeights::awayMs, maxMs,
                   "What sending a request to another region costs besides its time, as milliseconds of delay." },
    NumberSetting{ "connect_ms", &PlacementWeights::connectMs, maxMs,
                   "What a new connection costs its upstream, as milliseconds of delay." },
    NumberSetting{ "failure_ms", &PlacementWeights::failureMs, maxMs, "What a failed answer costs, as milliseconds of delay." },
    NumberSetting{ "fetching_share", &PlacementWeights::fetchingShare, maxMultiple,
                   "What fetching kept parts of a prompt from another engine costs besides its time, as a multiple of it." },
    NumberSetting{ "first_token_bound", &PlacementWeights::firstTokenBound, maxMultiple,
                   "A request whose first token is predicted beyond this multiple of its target is refused at once." },
    NumberSetting{ "late_ms", &PlacementWeights::lateMs, maxMs, "What missing the target costs, as milliseconds of delay." },
    NumberSetting{ "reading_per_running", &PlacementWeights::readingPerRunning, maxMultiple,
                   "What reading a prompt costs each request that runs there, as a multiple of the time it takes." },
    NumberSetting{ "rereading_share", &PlacementWeights::rereadingShare, maxMultiple,
                   "What reading shared parts of a prompt again costs besides its time, as a multiple of it." },
    NumberSetting{ "spread_ms", &PlacementWeights::spreadMs, maxMs,
                   "By how much scores are blurred for each other daemon of the region, as milliseconds of delay." },
    NumberSetting{ "streaming_share", &PlacementWeights::streamingShare, maxMultiple,
                   "What a stream costs for the time that it takes after its first token, as a multiple of it." },
    NumberSetting{ "whole_margin", &PlacementWeights::wholeMargin, maxMultiple,
                   "A stream is refused at once where, its tokens taking so many times longer than predicted, it would not end "
                   "before its deadline." },
};

constexpr std::array switches{
    SwitchSetting{ "avoid_failing", &PolicySettings::avoidFailing,
                   "Upstreams that failed several times in a row are avoided for a while." },
    SwitchSetting{ "avoid_silent", &PolicySettings::avoidSilent,
                   "Upstreams that owe answers and say nothing are avoided until they are heard." },
    SwitchSetting{ "cold_at_home", &PolicySettings::coldAtHome, "Cold upstreams are left to callers of their own region." },
    SwitchSetting{ "fetching", &PolicySettings::fetching, "Engines fetch kept parts of prompts from each other." },
    SwitchSetting{ "late_last", &PolicySettings::lateLast,
                   "Requests that miss their target anyway are read after those that can meet it." },
    SwitchSetting{ "learned_slowness", &PolicySettings::learnedSlowness,
                   "The time of first tokens against its prediction is learned by upstream." },
    SwitchSetting{ "moves", &PolicySettings::moves, "Runs are moved away from upstreams that announce their end." },
    SwitchSetting{ "prompt_homes", &PolicySettings::promptHomes,
                   "Shared parts of prompts have a region and upstreams where they are at home." },
    SwitchSetting{ "told_parts", &PolicySettings::toldParts,
                   "Daemons tell each other which parts of prompts they placed where." },
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

std::vector<PolicySettingDescription> policyCatalogue()
{
    const PolicySettings defaults;
    std::vector<PolicySettingDescription> catalogue;
    for (const NumberSetting &entry : numbers) {
        catalogue.push_back({ entry.name, fmt::format("number from 0 to {}", entry.most),
                              fmt::format("{}", defaults.weights.*(entry.member)), entry.meaning });
    }
    for (const SwitchSetting &entry : switches) {
        catalogue.push_back({ entry.name, "switch", defaults.*(entry.member) ? "true" : "false", entry.meaning });
    }
    std::sort(catalogue.begin(), catalogue.end(), [](const auto &one, const auto &other) { return one.name < other.name; });
    return catalogue;
}

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
