// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/stream_holders.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// Two, since one may just have stopped.
constexpr std::size_t holdersPerRegion = 2;

} // namespace

StreamHolders::StreamHolders(std::string ownId, std::string ownRegion)
    : ownId_(std::move(ownId)), ownRegion_(std::move(ownRegion))
{
}

void StreamHolders::setDaemons(const SharedList<DaemonRecord> &daemons)
{
    regions_.clear();
    links_.clear();
    for (const DaemonRecord &daemon : daemons) {
        links_[daemon.id] = daemon.linkAddress;
        if (!daemon.leaving) {
            regions_[daemon.region].push_back({ stableHash(daemon.id), daemon.id, daemon.linkAddress });
        }
    }
    for (auto &[name, region] : regions_) {
        std::sort(region.begin(), region.end(), [](const Placed &a, const Placed &b) { return a.hash < b.hash; });
    }
}

void StreamHolders::addLinks(const std::vector<Placed> &region, std::uint64_t stream, std::vector<std::string> &links) const
{
    auto at = std::lower_bound(region.begin(), region.end(), stream,
                               [](const Placed &placed, std::uint64_t wanted) { return placed.hash < wanted; });
    for (std::size_t count = std::min(holdersPerRegion, region.size()); count > 0; --count) {
        if (at == region.end()) {
            at = region.begin();
        }
        if (at->id != ownId_) {
            links.push_back(at->link);
        }
        ++at;
    }
}

std::vector<std::string> StreamHolders::links(const StreamKey &stream, Reach reach) const
{
    std::vector<std::string> links;
    for (const auto &[name, region] : regions_) {
        if (reach == Reach::AllRegions || name == ownRegion_) {
            addLinks(region, stream.low, links);
        }
    }
    return links;
}

std::string StreamHolders::linkOf(const std::string &daemon) const
{
    const auto found = links_.find(daemon);
    return found == links_.end() ? std::string() : found->second;
}

} // namespace Portpaddle
