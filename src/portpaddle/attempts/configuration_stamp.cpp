// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/attempts/configuration_stamp.h"

#include <charconv>

namespace Portpaddle {

namespace {

constexpr char separator = ' ';
// Ids of daemons are short.
constexpr std::size_t maxTextLength = 256;

} // namespace

std::string encodeConfigurationStamp(const ConfigurationStamp &stamp)
{
    return std::to_string(stamp.version) + separator + stamp.daemon;
}

std::optional<ConfigurationStamp> decodeConfigurationStamp(std::string_view text)
{
    ConfigurationStamp stamp;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, stamp.version);
    if (text.size() > maxTextLength || parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != separator) {
        return std::nullopt;
    }
    stamp.daemon.assign(parsed.ptr + 1, end);
    return stamp.daemon.empty() ? std::nullopt : std::optional(std::move(stamp));
}

} // namespace Portpaddle
