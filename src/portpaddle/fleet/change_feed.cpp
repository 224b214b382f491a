// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/change_feed.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Some seconds of changes while half of a thousand daemons restart; whoever is behind that lists everything.
constexpr std::size_t maxChanges = 4'096;

} // namespace

ChangeFeed::ChangeFeed(std::function<void()> wake) : wake_(std::move(wake))
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
    wake_();
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
        wake_();
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
    wake_();
}

FeedUpdate ChangeFeed::since(std::uint64_t revision) const
{
    const std::lock_guard lock(mutex_);
    FeedUpdate news;
    news.revision = revision_;
    news.confirmedAt = confirmedAt_;
    news.reachable = reachable_;
    news.incomplete = revision < completeSince_;
    if (news.incomplete) {
        return news;
    }
    std::copy_if(changes_.begin(), changes_.end(), std::back_inserter(news.changes),
                 [revision](const KeyChange &change) { return change.item.revision > revision; });
    return news;
}

} // namespace Portpaddle
