// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_record.h"

#include "portpaddle/base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Portpaddle {

namespace {

using Json = nlohmann::json;

constexpr std::string_view keyPrefix = "portpaddle/rollouts/";

} // namespace

std::string rolloutRecordKey(const std::string &service)
{
    return std::string(keyPrefix) + service;
}

std::optional<std::string> serviceOfRolloutKey(const std::string &key)
{
    return key.starts_with(keyPrefix) ? std::optional(key.substr(keyPrefix.size())) : std::nullopt;
}

std::string encodeRolloutRecord(const RolloutRecord &record)
{
    const Json json = { { "order", record.order },
                        { "version", record.version },
                        { "stage", nameOf(record.stage) },
                        { "share", record.share },
                        { "elapsed_ms", record.elapsed.count() },
                        { "reason", record.reason } };
    return json.dump();
}

std::optional<RolloutRecord> decodeRolloutRecord(const std::string &service, const std::string &text, std::uint64_t revision)
{
    try {
        const Json json = parseJsonOrThrow(text);
        const std::optional<RolloutStage> stage = rolloutStageNamed(json.at("stage").get<std::string>());
        if (!stage) {
            return std::nullopt;
        }
        RolloutRecord record;
        record.order = json.at("order").get<std::uint64_t>();
        record.service = service;
        record.version = json.at("version").get<std::string>();
        record.stage = *stage;
        record.share = std::clamp(json.at("share").get<double>(), 0.0, 1.0);
        record.elapsed = std::max(Millis(0), Millis(json.at("elapsed_ms").get<std::int64_t>()));
        record.reason = json.value("reason", "");
        record.revision = revision;
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Portpaddle
