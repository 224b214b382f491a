// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/retries/retry_members.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// A daemon goes on spending for this long after the store last confirmed its registration: outages of the store of up to 9 s must
// not stop retries, and the other daemons eventually stop counting a daemon that cannot register.
constexpr std::chrono::seconds maxConfirmationAge{ 30 };
// A daemon that is no longer listed still counts for this time, which is longer than it may go on spending and its retries may
// still arrive at upstreams.
constexpr std::chrono::seconds removedRetention{ 60 };

} // namespace

RetryMembers::RetryMembers(std::string ownId) : ownId_(std::move(ownId))
{
}

void RetryMembers::setSettling(std::chrono::milliseconds settling)
{
    settling_ = settling;
}

void RetryMembers::setListed(std::set<std::string> daemons, SteadyTime now)
{
    for (const std::string &daemon : listed_) {
        if (!daemons.contains(daemon) && daemon != ownId_) {
            removed_[daemon] = now;
        }
    }
    listed_ = std::move(daemons);
    std::erase_if(removed_,
                  [&](const auto &entry) { return listed_.contains(entry.first) || now - entry.second > removedRetention; });
}

void RetryMembers::confirmList(SteadyTime now)
{
    if (listed_.contains(ownId_)) {
        ownListedSince_ = ownListedSince_.value_or(now);
        ownConfirmed_ = now;
    }
}

unsigned RetryMembers::count(SteadyTime now) const
{
    const auto removedCount = std::count_if(removed_.begin(), removed_.end(),
                                            [now](const auto &entry) { return now - entry.second <= removedRetention; });
    const std::size_t others = listed_.size() - listed_.count(ownId_) + static_cast<std::size_t>(removedCount);
    return static_cast<unsigned>(others + 1);
}

std::optional<SteadyTime> RetryMembers::ownListedSince() const
{
    return ownListedSince_;
}

/// A daemon that has just started may know too few of the daemons that share the budget, and not all of them know it yet.
bool RetryMembers::maySpend(SteadyTime now) const
{
    return ownListedSince_ && now - *ownListedSince_ >= settling_ && now - ownConfirmed_ <= maxConfirmationAge;
}

} // namespace Portpaddle
