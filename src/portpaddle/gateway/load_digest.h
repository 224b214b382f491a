// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What daemons tell each other of load, and its encoding.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/wire/load_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Portpaddle {

/// Datagrams stay below the usual path MTU.
inline constexpr std::size_t largestLoadDatagram = 1'400;
/// Bounds of a digest; with them the largest one fits the datagram.
inline constexpr std::size_t maxDigestUpstreams = 32;
inline constexpr std::size_t maxDigestParts = 24;
inline constexpr std::size_t maxDigestServices = 4;
/// Requests in a digest that tells of nothing else.
inline constexpr std::size_t maxDigestCrashes = 40;
/// Upstreams in a digest that tells of nothing else.
inline constexpr std::size_t maxDigestUpstreamLimits = 40;

/// As many digests as it takes to tell everything, each to be sent in a datagram of its own. @p header has the sender, the
/// sequence of the first digest, and what only that one tells.
std::vector<Wire::LoadDigestT> splitIntoDigests(const Wire::LoadDigestT &header, std::span<const Wire::UpstreamShare> shares,
                                                std::span<const Wire::PlacedPart> parts);
std::vector<std::uint8_t> encodeDigest(const Wire::LoadDigestT &digest);
/// BadRequest if @p bytes is no digest or exceeds a bound.
Result<Wire::LoadDigestT> decodeDigest(std::span<const std::uint8_t> bytes);

} // namespace Portpaddle
