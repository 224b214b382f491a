// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Identifies a stream over all tries of its caller, and the software version of the upstreams that wrote its events.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// The first 128 bits of a SHA-256 digest over service, host, caller and the id of the try that brought the first event.
struct StreamKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const StreamKey &) const = default;
};

/// Returns the key of the stream that the try @p requestId of @p caller began at @p service. @p caller is the organisation, or
/// the credentials if the organisation is not known.
StreamKey streamKeyOf(std::string_view service, std::string_view host, std::string_view caller, std::string_view requestId);

/// A hash of the name of a software version.
using VersionKey = std::uint64_t;

VersionKey versionKeyOf(std::string_view version);

/// Between daemons, on a request: the version at which a stream in progress has to go on. On an answer: the version that wrote
/// its first event.
inline constexpr const char *streamVersionHeader = "X-Portpaddle-Stream-Version";

std::string encodeVersionKey(VersionKey version);
/// Parses a header value; returns no value if @p text is invalid.
std::optional<VersionKey> decodeVersionKey(std::string_view text);

} // namespace Portpaddle
