// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/stream_key.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <fmt/format.h>

#include <charconv>
#include <cstring>

namespace Portpaddle {

namespace {

constexpr int hexadecimal = 16;

} // namespace

// The digest has to be collision resistant: anybody who found an id with the key of another caller's stream could have that
// stream refused.
StreamKey streamKeyOf(std::string_view service, std::string_view host, std::string_view caller, std::string_view requestId)
{
    const Sha256Digest digest = sha256OfParts({ service, host, caller, requestId });
    StreamKey key;
    std::memcpy(&key.high, digest.data(), sizeof key.high);
    std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
    return key;
}

VersionKey versionKeyOf(std::string_view version)
{
    return stableHash(version);
}

std::string encodeVersionKey(VersionKey version)
{
    return fmt::format("{:x}", version);
}

std::optional<VersionKey> decodeVersionKey(std::string_view text)
{
    VersionKey version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version, hexadecimal);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return valid ? std::optional(version) : std::nullopt;
}

} // namespace Portpaddle
