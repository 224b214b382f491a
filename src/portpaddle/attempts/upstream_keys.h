// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Tells another daemon which upstreams may have run a request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// Hashes of upstreams' ids; see upstreamKey().
using UpstreamKeys = std::vector<std::uint32_t>;

/// Between daemons. On a request: the upstreams that may have run it, to which it must not be sent again. On an answer: the
/// upstream that may have run it.
inline constexpr const char *ranAtHeader = "X-Portpaddle-Ran-At";
/// Maximum number of upstreams that is told or believed; routes allow only a few attempts.
inline constexpr std::size_t maxUpstreamKeys = 16;

/// Returns the last maxUpstreamKeys of @p keys as a header value.
std::string encodeUpstreamKeys(const UpstreamKeys &keys);
/// Parses a header value; returns what precedes the first invalid key, at most maxUpstreamKeys.
UpstreamKeys decodeUpstreamKeys(std::string_view text);

} // namespace Portpaddle
