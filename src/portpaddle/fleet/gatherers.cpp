// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/gatherers.h"

#include "portpaddle/fleet/role_ranking.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

// Sums come five times a second; a gatherer that owes them for so long is cut off or dead, or knows itself not to be one.
constexpr std::chrono::milliseconds longestDebt{ 1'000 };
// One that is back is heard of by then.
constexpr std::chrono::milliseconds passOverTime{ 5'000 };

} // namespace

Gatherers::Gatherers(std::string ownId, IsSilent isSilent) : ownId_(std::move(ownId)), isSilent_(std::move(isSilent))
{
}

void Gatherers::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    ranks_.clear();
    for (const DaemonRecord &daemon : view_->daemons) {
        if (ranks_.contains(daemon.region)) {
            continue;
        }
        Ranks &ranks = ranks_[daemon.region];
        for (unsigned shard = 0; shard < newsShards; ++shard) {
            ranks.at(shard) = rankForRole(*view_, daemon.region, fmt::format("news {}", shard));
        }
    }
}

const DaemonRecord *Gatherers::of(const std::string &region, unsigned shard, SteadyTime now) const
{
    const auto found = ranks_.find(region);
    if (found == ranks_.end()) {
        return nullptr;
    }
    for (const DaemonRecord *daemon : found->second.at(shard)) {
        if (isSelf(*daemon) || (!isSilent_(daemon->id, now) && !isPassedOver(daemon->id, now))) {
            return daemon;
        }
    }
    return nullptr;
}

bool Gatherers::isSelf(const DaemonRecord &daemon) const
{
    return daemon.id == ownId_;
}

bool Gatherers::isPassedOver(const std::string &daemon, SteadyTime now) const
{
    const auto found = debts_.find(daemon);
    return found != debts_.end() && now < found->second.passedOverUntil;
}

void Gatherers::reported(const std::string &gatherer, SteadyTime now)
{
    Debt &debt = debts_[gatherer];
    if (!debt.owing) {
        debt.owing = true;
        debt.since = now;
    } else if (now - debt.since > longestDebt) {
        debt.passedOverUntil = now + passOverTime;
        debt.owing = false;
    }
}

void Gatherers::heardSums(const std::string &gatherer, SteadyTime now)
{
    Debt &debt = debts_[gatherer];
    debt.since = now;
    debt.passedOverUntil = {};
}

std::vector<std::string> Gatherers::regions() const
{
    std::vector<std::string> names;
    names.reserve(ranks_.size());
    for (const auto &[name, ranks] : ranks_) {
        names.push_back(name);
    }
    return names;
}

} // namespace Portpaddle
