// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/attempts/upstream_keys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace Portpaddle {

namespace {

constexpr char separator = ' ';
constexpr int base = 16;

std::optional<std::uint32_t> decodeKey(std::string_view text)
{
    std::uint32_t key = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, key, base);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(key) : std::nullopt;
}

} // namespace

std::string encodeUpstreamKeys(const UpstreamKeys &keys)
{
    const std::size_t first = keys.size() - std::min(keys.size(), maxUpstreamKeys);
    std::string text;
    for (std::size_t index = first; index < keys.size(); ++index) {
        text += fmt::format("{}{:x}", text.empty() ? "" : " ", keys[index]);
    }
    return text;
}

UpstreamKeys decodeUpstreamKeys(std::string_view text)
{
    UpstreamKeys keys;
    while (!text.empty() && keys.size() < maxUpstreamKeys) {
        const std::size_t length = std::min(text.find(separator), text.size());
        const std::optional<std::uint32_t> key = decodeKey(text.substr(0, length));
        if (!key) {
            break;
        }
        keys.push_back(*key);
        text.remove_prefix(std::min(length + 1, text.size()));
    }
    return keys;
}

} // namespace Portpaddle
