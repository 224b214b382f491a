// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/upstream_selection.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// The least loaded of this many upstreams is hardly ever busy while any large part of the region is idle.
constexpr std::size_t subsetSize = 48;
// Traffic between data centres is paid for, but some of the subset must remain when the own data centre fails.
constexpr double ownDataCentreWeight = 8;
// Two preferred upstreams, and the next ones for when those are gone or busy.
constexpr std::size_t homesPerPrompt = 4;

} // namespace

// Rendezvous hashing gives each daemon a stable subset, in which an upstream that comes or goes changes one place, and gives each
// upstream about the same number of daemons.
UpstreamSelection::UpstreamSelection(std::vector<const UpstreamRecord *> upstreams, const std::string &ownId,
                                     const std::string &ownDataCentre)
    : upstreams_(std::move(upstreams))
{
    if (isWhole()) {
        return;
    }
    const std::uint64_t own = stableHash(ownId);
    std::vector<std::pair<double, const UpstreamRecord *>> ranked;
    ranked.reserve(upstreams_.size());
    ring_.reserve(upstreams_.size());
    for (const UpstreamRecord *upstream : upstreams_) {
        const std::uint64_t key = stableHash(upstream->id);
        const double weight = upstream->dataCentre == ownDataCentre ? ownDataCentreWeight : 1;
        ranked.emplace_back(rendezvousScore(own, key, weight), upstream);
        ring_.push_back({ key, upstream });
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(subsetSize);
    std::nth_element(ranked.begin(), end, ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::transform(ranked.begin(), end, std::back_inserter(subset_), [](const auto &entry) { return entry.second; });
    std::sort(ring_.begin(), ring_.end(), [](const Placed &a, const Placed &b) { return a.key < b.key; });
}

const std::vector<const UpstreamRecord *> &UpstreamSelection::all() const
{
    return upstreams_;
}

bool UpstreamSelection::isWhole() const
{
    return upstreams_.size() <= maxConsidered;
}

std::vector<const UpstreamRecord *> UpstreamSelection::homes(const PromptFacts &prompt) const
{
    std::vector<const UpstreamRecord *> result;
    // The last part belongs to the request alone; the one before it tells prompts apart.
    if (ring_.empty() || prompt.parts.size() < 2) {
        return result;
    }
    const std::uint64_t key = prompt.parts[prompt.parts.size() - 2].chainHash;
    auto at = std::lower_bound(ring_.begin(), ring_.end(), key,
                               [](const Placed &placed, std::uint64_t wanted) { return placed.key < wanted; });
    for (std::size_t count = 0; count < homesPerPrompt; ++count, ++at) {
        if (at == ring_.end()) {
            at = ring_.begin();
        }
        result.push_back(at->upstream);
    }
    return result;
}

std::vector<const UpstreamRecord *> UpstreamSelection::considered(const PromptFacts &prompt) const
{
    if (isWhole()) {
        return upstreams_;
    }
    std::vector<const UpstreamRecord *> result = subset_;
    for (const UpstreamRecord *home : homes(prompt)) {
        if (std::find(result.begin(), result.end(), home) == result.end()) {
            result.push_back(home);
        }
    }
    return result;
}

double UpstreamSelection::consideredShare() const
{
    return isWhole() ? 1 : static_cast<double>(subset_.size()) / static_cast<double>(upstreams_.size());
}

std::vector<const UpstreamRecord *> UpstreamSelection::sample() const
{
    if (isWhole()) {
        return upstreams_;
    }
    std::vector<const UpstreamRecord *> result;
    for (std::size_t index = 0; index < maxConsidered; ++index) {
        result.push_back(ring_[index * ring_.size() / maxConsidered].upstream);
    }
    return result;
}

} // namespace Portpaddle
