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
    double max;
    const char *meaning;
};

struct SwitchSetting
{
    const char *name;
    bool PolicySettings::*member;
    const char *meaning;
};

// Upper bounds of settings: a delay of a minute or a multiple of a thousand already outweighs all other costs.
constexpr double maxMs = 60'000;
constexpr double maxMultiple = 1'000;

constexpr std::array numbers{
    NumberSetting{ "away_ms", &PlacementWeights::awayMs, maxMs,
                   "Cost of sending a request to another region in addition to its time, in milliseconds of delay." },
    NumberSetting{ "connect_ms", &PlacementWeights::connectMs, maxMs,
                   "Cost of a new connection to an upstream, in milliseconds of delay." },
    NumberSetting{ "failure_ms", &PlacementWeights::failureMs, maxMs, "Cost of a failed answer, in milliseconds of delay." },
    NumberSetting{
        "fetching_share", &PlacementWeights::fetchingShare, maxMultiple,
        "Cost of fetching cached parts of a prompt from another engine in addition to its time, as a multiple of that time." },
    NumberSetting{
        "first_token_bound", &PlacementWeights::firstTokenBound, maxMultiple,
        "A request is refused at once when the predicted time to its first token exceeds this multiple of its target." },
    NumberSetting{ "late_ms", &PlacementWeights::lateMs, maxMs, "Cost of missing the target latency, in milliseconds of delay." },
    NumberSetting{ "reading_per_running", &PlacementWeights::readingPerRunning, maxMultiple,
                   "Cost of a prefill for each request in progress on the upstream, as a multiple of the prefill time." },
    NumberSetting{ "rereading_share", &PlacementWeights::rereadingShare, maxMultiple,
                   "Cost of prefilling shared parts of a prompt again in addition to its time, as a multiple of that time." },
    NumberSetting{ "spread_ms", &PlacementWeights::spreadMs, maxMs,
                   "Upper bound of the random delay added to scores for each other daemon of the region, in milliseconds." },
    NumberSetting{ "streaming_share", &PlacementWeights::streamingShare, maxMultiple,
                   "Cost of a stream for the time that it takes after its first token, as a multiple of that time." },
    NumberSetting{ "whole_margin", &PlacementWeights::wholeMargin, maxMultiple,
                   "A stream is refused at once when its tokens, taking this many times longer than predicted, would not all "
                   "arrive before its deadline." },
};

constexpr std::array switches{
    SwitchSetting{ "avoid_failing", &PolicySettings::avoidFailing,
                   "Upstreams that failed several times in a row are avoided for a while." },
    SwitchSetting{ "avoid_silent", &PolicySettings::avoidSilent,
                   "Upstreams that have requests in progress and send nothing are avoided until they send something." },
    SwitchSetting{ "cold_at_home", &PolicySettings::reserveColdUpstreams,
                   "Cold upstreams are reserved for callers of their own region." },
    SwitchSetting{ "fetching", &PolicySettings::fetching, "Engines fetch cached parts of prompts from each other." },
    SwitchSetting{ "late_last", &PolicySettings::lateLast,
                   "Requests that miss their target anyway are prefilled after those that can meet it." },
    SwitchSetting{ "learned_slowness", &PolicySettings::learnedSlowness,
                   "The time to the first token and its error are learned for each service, and the slowness of each upstream." },
    SwitchSetting{ "moves", &PolicySettings::moves, "Runs are moved away from upstreams that announce their end." },
    SwitchSetting{ "prompt_homes", &PolicySettings::prefixAffinity,
                   "Shared parts of prompts have a preferred region and preferred upstreams (prefix affinity)." },
    SwitchSetting{ "told_parts", &PolicySettings::announceParts,
                   "Daemons announce to each other which parts of prompts they placed where." },
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

Status applySetting(PolicySettings &settings, const std::string &name, const nlohmann::json &value)
{
    const auto number = findByName(numbers, name);
    if (number != numbers.end()) {
        if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > number->max) {
            return invalid(fmt::format("{} must be a number from 0 to {}", name, number->max));
        }
        settings.weights.*(number->member) = value.get<double>();
        return success();
    }
    const auto flag = findByName(switches, name);
    if (flag == switches.end()) {
        return invalid("unknown setting " + name);
    }
    if (!value.is_boolean()) {
        return invalid(name + " must be true or false");
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
        catalogue.push_back({ entry.name, fmt::format("number from 0 to {}", entry.max),
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
        return invalid("must be an object");
    }
    PolicySettings settings;
    for (const auto &[name, value] : json.items()) {
        const Status applied = applySetting(settings, name, value);
        if (!isOk(applied)) {
            return errorOf(applied);
        }
    }
    return settings;
}

} // namespace Portpaddle
