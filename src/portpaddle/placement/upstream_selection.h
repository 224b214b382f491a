// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which upstreams of a service a daemon considers for a request. In a large region it does not compare all of them: the time of
/// a choice, the connections and the load that a daemon has to know would otherwise grow with the region.
#pragma once

#include "portpaddle/callers/caller_request.h"
#include "portpaddle/store_following/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Portpaddle {

/// The upstreams of one service in the own region. Points into a view, which must outlive it.
class UpstreamSelection
{
public:
    /// Up to this many upstreams are all considered.
    static constexpr std::size_t maxConsidered = 128;

    /// The subset of a large region is that of the daemon @p ownId, mostly in @p ownDataCentre.
    UpstreamSelection(std::vector<const UpstreamRecord *> upstreams, const std::string &ownId, const std::string &ownDataCentre);

    const std::vector<const UpstreamRecord *> &all() const;
    /// Whether all upstreams are considered for each request.
    bool isWhole() const;
    /// Returns the upstreams considered for a request with @p prompt: the own subset and the homes of the prompt.
    std::vector<const UpstreamRecord *> considered(const PromptFacts &prompt) const;
    /// Returns the upstreams that all daemons of the region prefer for the shared parts of @p prompt. Empty if the selection is
    /// whole or no part is shared.
    std::vector<const UpstreamRecord *> homes(const PromptFacts &prompt) const;
    /// Returns the share of all upstreams that is in the subset of one daemon.
    double consideredShare() const;
    /// Returns upstreams that stand for all, the same at all daemons.
    std::vector<const UpstreamRecord *> sample() const;

private:
    struct Placed
    {
        std::uint64_t key;
        const UpstreamRecord *upstream;
    };

    std::vector<const UpstreamRecord *> upstreams_;
    std::vector<const UpstreamRecord *> subset_;
    /// All upstreams in the order of their keys; empty if the selection is whole.
    std::vector<Placed> ring_;
};

} // namespace Portpaddle
