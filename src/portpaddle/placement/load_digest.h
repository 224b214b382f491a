// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The digests in which daemons report load to each other, and their encoding.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/wire/load_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Portpaddle {

/// Datagrams stay below the usual path MTU.
inline constexpr std::size_t maxLoadDatagramBytes = 1'400;
/// Bounds of a digest, chosen so that the largest digest fits into the datagram.
inline constexpr std::size_t maxDigestUpstreams = 32;
inline constexpr std::size_t maxDigestParts = 24;
inline constexpr std::size_t maxDigestServices = 4;
/// Maximum number of requests in a digest that has no other content.
inline constexpr std::size_t maxDigestCrashes = 40;
/// Maximum number of upstreams in a digest that has no other content.
inline constexpr std::size_t maxDigestUpstreamLimits = 40;
/// Maximum number of reported loads in a digest; a digest with other content may have room for fewer.
inline constexpr std::size_t maxDigestReports = 48;

/// Maximum number of streams of each kind in a digest.
inline constexpr std::size_t maxDigestStreams = 16;
inline constexpr std::size_t maxDigestPlaces = 36;

/// Splits @p shares and @p parts into as many digests as needed, each to be sent in a datagram of its own. @p header has the
/// sender, the sequence of the first digest, and the content that only the first one carries.
std::vector<Wire::LoadDigestT> splitIntoDigests(const Wire::LoadDigestT &header, std::span<const Wire::UpstreamShare> shares,
                                                std::span<const Wire::PlacedPart> parts);
std::vector<std::uint8_t> encodeDigest(const Wire::LoadDigestT &digest);
/// Decodes a digest; BadRequest if @p bytes is malformed or exceeds a bound.
Result<Wire::LoadDigestT> decodeDigest(std::span<const std::uint8_t> bytes);

} // namespace Portpaddle
