// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/aggregators.h"

#include "portpaddle/fleet/role_ranking.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

// Sums come ten times a second; a gatherer that sends none for so long is cut off or dead, or does not know that it is one.
constexpr std::chrono::milliseconds longestWait{ 1'000 };
// One that is back is heard of by then.
constexpr std::chrono::milliseconds avoidTime{ 5'000 };

} // namespace

Aggregators::Aggregators(std::string ownId, IsSilent isSilent) : ownId_(std::move(ownId)), isSilent_(std::move(isSilent))
{
}

void Aggregators::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    ranks_.clear();
    for (const DaemonRecord &daemon : view_->daemons) {
        if (ranks_.contains(daemon.region)) {
            continue;
        }
        Ranks &ranks = ranks_[daemon.region];
        for (unsigned shard = 0; shard < aggregationShards; ++shard) {
            ranks.at(shard) = rankForRole(*view_, daemon.region, fmt::format("news {}", shard));
        }
    }
}

const DaemonRecord *Aggregators::of(const std::string &region, unsigned shard, SteadyTime now) const
{
    const auto found = ranks_.find(region);
    if (found == ranks_.end()) {
        return nullptr;
    }
    for (const DaemonRecord *daemon : found->second.at(shard)) {
        if (isSelf(*daemon) || (!isSilent_(daemon->id, now) && !isAvoided(daemon->id, now))) {
            return daemon;
        }
    }
    return nullptr;
}

bool Aggregators::isSelf(const DaemonRecord &daemon) const
{
    return daemon.id == ownId_;
}

bool Aggregators::isAvoided(const std::string &daemon, SteadyTime now) const
{
    const auto found = responses_.find(daemon);
    return found != responses_.end() && now < found->second.avoidedUntil;
}

void Aggregators::reported(const std::string &aggregator, SteadyTime now)
{
    Response &response = responses_[aggregator];
    // Another daemon was the gatherer in between: nothing was due from this one.
    const bool begins = now - response.lastReport > longestWait;
    response.lastReport = now;
    if (begins) {
        response.awaitedSince = now;
    } else if (now - response.awaitedSince > longestWait) {
        response.avoidedUntil = now + avoidTime;
    }
}

void Aggregators::heardSums(const std::string &aggregator, SteadyTime now)
{
    Response &response = responses_[aggregator];
    response.awaitedSince = now;
    response.avoidedUntil = {};
}

std::vector<std::string> Aggregators::regions() const
{
    std::vector<std::string> names;
    names.reserve(ranks_.size());
    for (const auto &[name, ranks] : ranks_) {
        names.push_back(name);
    }
    return names;
}

} // namespace Portpaddle
