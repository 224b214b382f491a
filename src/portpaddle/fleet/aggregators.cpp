// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/aggregators.h"

#include "portpaddle/fleet/role_ranking.h"

#include <fmt/format.h>

#include <algorithm>

namespace Portpaddle {

namespace {

// An aggregator that sends no sums for this time has failed, is partitioned, or does not know that it was selected.
constexpr std::chrono::milliseconds minMaxSilence{ 1'000 };
// Where sums are sent less often, so many must be missing: datagrams are lost now and then.
constexpr int maxMissingSums = 4;
// Long enough for this daemon to hear of an aggregator that has recovered.
constexpr std::chrono::milliseconds avoidTime{ 5'000 };

} // namespace

Aggregators::Aggregators(std::string ownId, IsSilent isSilent) : ownId_(std::move(ownId)), isSilent_(std::move(isSilent))
{
}

void Aggregators::setView(std::shared_ptr<const FleetView> view)
{
    const bool sameDaemons = view_ && view_->daemons.sharesWith(view->daemons);
    view_ = std::move(view);
    if (sameDaemons) {
        return;
    }
    rankings_.clear();
    for (const DaemonRecord &daemon : view_->daemons) {
        rankings_.try_emplace(daemon.region);
    }
    std::erase_if(nextCursors_, [this](const auto &entry) { return !rankings_.contains(entry.first); });
}

void Aggregators::setSendInterval(std::chrono::milliseconds interval)
{
    sendInterval_ = interval;
}

std::chrono::milliseconds Aggregators::maxSilence() const
{
    return std::max(minMaxSilence, sendInterval_ * maxMissingSums);
}

const std::vector<const DaemonRecord *> *Aggregators::rankingOf(const std::string &region, unsigned shard) const
{
    const auto found = rankings_.find(region);
    if (found == rankings_.end()) {
        return nullptr;
    }
    std::vector<const DaemonRecord *> &ranking = found->second.at(shard);
    if (ranking.empty()) {
        ranking = rankForRole(*view_, region, fmt::format("news {}", shard));
    }
    return &ranking;
}

const DaemonRecord *Aggregators::of(const std::string &region, unsigned shard, SteadyTime now) const
{
    const std::vector<const DaemonRecord *> *ranking = rankingOf(region, shard);
    if (ranking == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(ranking->begin(), ranking->end(), [this, now](const DaemonRecord *daemon) {
        return isSelf(*daemon) || (!isSilent_(daemon->id, now) && !isAvoided(daemon->id, now));
    });
    return found == ranking->end() ? nullptr : *found;
}

const DaemonRecord *Aggregators::next(const std::string &region, unsigned shard)
{
    const std::vector<const DaemonRecord *> *ranking = rankingOf(region, shard);
    if (ranking == nullptr || ranking->empty()) {
        return nullptr;
    }
    return ranking->at(nextCursors_[region].at(shard)++ % ranking->size());
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

void Aggregators::noteReportSent(const std::string &aggregator, SteadyTime now)
{
    Response &response = responses_[aggregator];
    // After a gap in the reports another daemon was the aggregator in between, so that no sums were expected from this one.
    const bool isFirstReport = now - response.lastReport > maxSilence();
    response.lastReport = now;
    if (isFirstReport) {
        response.awaitedSince = now;
    } else if (now - response.awaitedSince > maxSilence()) {
        response.avoidedUntil = now + avoidTime;
    }
}

void Aggregators::noteSumsReceived(const std::string &aggregator, SteadyTime now)
{
    Response &response = responses_[aggregator];
    response.awaitedSince = now;
    response.avoidedUntil = {};
}

std::vector<std::string> Aggregators::regions() const
{
    std::vector<std::string> names;
    names.reserve(rankings_.size());
    for (const auto &[name, rankings] : rankings_) {
        names.push_back(name);
    }
    return names;
}

} // namespace Portpaddle
