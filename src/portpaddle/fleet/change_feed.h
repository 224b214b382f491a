// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The newest changes of the store's contents, kept for daemons that follow this one instead of the store.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace Portpaddle {

/// What a daemon knows of the store at one moment.
struct FeedUpdate
{
    std::uint64_t revision = 0;
    /// When an answer of the store last confirmed this, to this daemon or to the one that it follows.
    SteadyTime confirmedAt{};
    bool reachable = false;
    /// Changes since the revision asked for are not known any more.
    bool incomplete = false;
    std::vector<KeyChange> changes;
};

/// Thread-safe.
class ChangeFeed
{
public:
    using Time = SteadyTime;

    /// @p wake is called after each change, on the thread that made it.
    explicit ChangeFeed(std::function<void()> wake);

    /// Everything was listed anew: changes before @p revision are not known.
    void restart(std::uint64_t revision, Time confirmedAt);
    void add(const std::vector<KeyChange> &changes, std::uint64_t revision, Time confirmedAt);
    /// The store answered that nothing is newer.
    void confirm(Time at);
    void setReachable(bool reachable);

    /// What changed after @p revision.
    FeedUpdate since(std::uint64_t revision) const;

private:
    mutable std::mutex mutex_;
    std::function<void()> wake_;
    std::deque<KeyChange> changes_;
    /// All changes after this one are in the list.
    std::uint64_t completeSince_ = 0;
    std::uint64_t revision_ = 0;
    Time confirmedAt_{};
    bool reachable_ = false;
};

} // namespace Portpaddle
