// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/fetch_offers.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr double bitsPerByte = 8;
constexpr double bitsPerMsAtOneMbps = 1'000;
// Two engines take some milliseconds to set up a transfer before its first byte.
constexpr double setupMs = 5;

/// Whether other engines may fetch from this one. An engine that is gone or was already tried cannot serve a fetch, and an
/// engine that limits its load is spared; an engine without free capacity can still serve fetches.
bool canServeFetches(const UpstreamCandidate &upstream)
{
    switch (upstream.exclusionReason) {
    case ExclusionReason::Unhealthy:
    case ExclusionReason::Leaving:
    case ExclusionReason::BackingOff:
    case ExclusionReason::AlreadyTried:
        return false;
    default:
        return !upstream.limited;
    }
}

} // namespace

// Links between data centres are slow and expensive, and engines of different versions may lay out their memory differently.
std::string fetchGroupOf(const UpstreamRecord &upstream)
{
    return upstream.version.empty() ? upstream.dataCentre : upstream.dataCentre + '/' + upstream.version;
}

FetchSources offerFetching(const ServiceSpec &spec, std::vector<UpstreamCandidate> &upstreams,
                           const std::vector<const UpstreamRecord *> &records)
{
    FetchSources sources;
    if (spec.memoryBytesPerToken <= 0 || spec.memoryLinkMbps <= 0) {
        return sources;
    }
    std::unordered_map<std::string, const UpstreamCandidate *> bestSources;
    for (const UpstreamCandidate &upstream : upstreams) {
        const UpstreamCandidate *&best = bestSources[fetchGroupOf(*records[upstream.index])];
        if (canServeFetches(upstream) && upstream.cachedTokens > (best == nullptr ? 0 : best->cachedTokens)) {
            best = &upstream;
        }
    }
    const double msPerToken = spec.memoryBytesPerToken * bitsPerByte / (spec.memoryLinkMbps * bitsPerMsAtOneMbps);
    for (UpstreamCandidate &upstream : upstreams) {
        const std::string group = fetchGroupOf(*records[upstream.index]);
        const UpstreamCandidate *source = bestSources[group];
        if (source == nullptr || source == &upstream) {
            continue;
        }
        sources[group] = records[source->index]->address;
        upstream.fetchableTokens = source->cachedTokens;
        upstream.fetchMs = setupMs + std::max(0.0, source->cachedTokens - upstream.cachedTokens) * msPerToken;
    }
    return sources;
}

} // namespace Portpaddle
