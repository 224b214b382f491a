// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/fetch_offers.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr double bitsPerByte = 8;
constexpr double bitsPerMsAtOneMbps = 1'000;
// Before the first byte of a transfer between engines moves; they take some milliseconds to agree on it.
constexpr double setupMs = 5;

/// An engine that is gone or tried in vain has nothing to give, and one in need is spared; a full one has.
bool canGive(const UpstreamCandidate &upstream)
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

FetchSources offerFetching(const ServiceSpec &spec, std::vector<UpstreamCandidate> &upstreams,
                           const std::vector<const UpstreamRecord *> &records)
{
    FetchSources sources;
    if (spec.memoryBytesPerToken <= 0 || spec.memoryLinkMbps <= 0) {
        return sources;
    }
    // Links between data centres are slow and dear: only engines of one data centre fetch from each other.
    std::unordered_map<std::string, const UpstreamCandidate *> fullest;
    for (const UpstreamCandidate &upstream : upstreams) {
        const UpstreamCandidate *&best = fullest[records[upstream.index]->dataCentre];
        if (canGive(upstream) && upstream.cachedTokens > (best == nullptr ? 0 : best->cachedTokens)) {
            best = &upstream;
        }
    }
    const double msPerToken = spec.memoryBytesPerToken * bitsPerByte / (spec.memoryLinkMbps * bitsPerMsAtOneMbps);
    for (UpstreamCandidate &upstream : upstreams) {
        const std::string &dataCentre = records[upstream.index]->dataCentre;
        const UpstreamCandidate *source = fullest[dataCentre];
        if (source == nullptr || source == &upstream) {
            continue;
        }
        sources[dataCentre] = records[source->index]->address;
        upstream.fetchableTokens = source->cachedTokens;
        upstream.fetchMs = setupMs + std::max(0.0, source->cachedTokens - upstream.cachedTokens) * msPerToken;
    }
    return sources;
}

} // namespace Portpaddle
