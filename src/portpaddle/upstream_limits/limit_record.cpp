// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_record.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/upstream_limits/limit_reading.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace Portpaddle {

namespace {

constexpr std::string_view keyPrefix = "portpaddle/limits/";
constexpr const char *rateField = "perSecond";
constexpr int hexadecimal = 16;
// The record is written again when it expires while the limit is in force.
constexpr std::chrono::seconds recordLease{ 60 };

} // namespace

LeasedRecord limitRecord(const StoredLimit &limit)
{
    const nlohmann::json text{ { rateField, limit.perSecond } };
    return { fmt::format("{}{:016x}", keyPrefix, limit.upstream), text.dump(), recordLease, LogEvent::UpstreamLimitNotWritten };
}

std::optional<std::uint64_t> upstreamOfLimitKey(const std::string &key)
{
    if (!key.starts_with(keyPrefix)) {
        return std::nullopt;
    }
    std::uint64_t upstream = 0;
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + keyPrefix.size(), end, upstream, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(upstream) : std::nullopt;
}

std::optional<StoredLimit> readLimitRecord(const std::string &key, const std::string &text)
{
    const std::optional<std::uint64_t> upstream = upstreamOfLimitKey(key);
    const auto json = parseJson(text);
    if (!upstream || !json.is_object() || !json.contains(rateField) || !json[rateField].is_number()) {
        return std::nullopt;
    }
    const double rate = json[rateField].get<double>();
    const double bounded = rate > 0 ? boundedRate(rate) : 0;
    return std::isnan(bounded) ? std::nullopt : std::optional(StoredLimit{ *upstream, bounded });
}

} // namespace Portpaddle
