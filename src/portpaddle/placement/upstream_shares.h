// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The form in which daemons tell each other the load of upstreams.
#pragma once

#include "portpaddle/placement/peer_shares.h"
#include "portpaddle/wire/load_generated.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Portpaddle {

/// Returns the key by which digests name an upstream.
std::uint32_t upstreamKey(const std::string &id);
/// Number of shards of the upstreams, each aggregated by another daemon: one datagram holds a shard of a region with a hundred
/// upstreams, and when an aggregator dies three quarters of the sums still arrive.
inline constexpr unsigned aggregationShards = 4;
unsigned shardOf(std::uint32_t upstreamKey);

/// Returns a count that only grows, as digests hold it.
std::uint32_t toWrappingCounter(double tokens);
Wire::UpstreamShare encodeShare(std::uint32_t key, const LoadShare &share, double readTokens);
LoadShare decodeShare(const Wire::UpstreamShare &share);
/// Returns all of a few shares. Of many, returns those of upstreams where another request would wait, the most loaded first and
/// no more than a bounded number.
std::vector<Wire::UpstreamShare> mostLoaded(std::vector<Wire::UpstreamShare> shares);

} // namespace Portpaddle
