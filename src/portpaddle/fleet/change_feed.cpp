// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/change_feed.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Covers some seconds of changes while half of a thousand daemons restart. A daemon that is further behind lists all keys.
constexpr std::size_t maxChanges = 4'096;

} // namespace

ChangeFeed::ChangeFeed(std::function<void()> onChange) : onChange_(std::move(onChange))
{
}

void ChangeFeed::restart(std::uint64_t revision, Time confirmedAt)
{
    {
        const std::lock_guard lock(mutex_);
        changes_.clear();
        completeSince_ = revision;
        revision_ = revision;
        confirmedAt_ = confirmedAt;
    }
    onChange_();
}

void ChangeFeed::add(const std::vector<KeyChange> &changes, std::uint64_t revision, Time confirmedAt)
{
    {
        const std::lock_guard lock(mutex_);
        for (const KeyChange &change : changes) {
            changes_.push_back(change);
        }
        while (changes_.size() > maxChanges) {
            completeSince_ = std::max(completeSince_, changes_.front().item.revision);
            changes_.pop_front();
        }
        revision_ = std::max(revision_, revision);
        confirmedAt_ = std::max(confirmedAt_, confirmedAt);
    }
    if (!changes.empty()) {
        onChange_();
    }
}

void ChangeFeed::confirm(Time at)
{
    const std::lock_guard lock(mutex_);
    confirmedAt_ = std::max(confirmedAt_, at);
}

void ChangeFeed::setReachable(bool reachable)
{
    {
        const std::lock_guard lock(mutex_);
        reachable_ = reachable;
    }
    onChange_();
}

FeedUpdate ChangeFeed::since(std::uint64_t revision) const
{
    const std::lock_guard lock(mutex_);
    FeedUpdate update;
    update.revision = revision_;
    update.confirmedAt = confirmedAt_;
    update.reachable = reachable_;
    update.incomplete = revision < completeSince_;
    if (update.incomplete) {
        return update;
    }
    std::copy_if(changes_.begin(), changes_.end(), std::back_inserter(update.changes),
                 [revision](const KeyChange &change) { return change.item.revision > revision; });
    return update;
}

} // namespace Portpaddle
