// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The most recent changes of the store's contents, kept for daemons that follow this one instead of the store.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Portpaddle {

/// The state of the store as a daemon knows it, with the changes since an earlier revision.
struct FeedUpdate
{
    std::uint64_t revision = 0;
    /// When an answer of the store last confirmed this state, to this daemon or to the one that it follows.
    SteadyTime confirmedAt{};
    bool reachable = false;
    /// Whether some changes since the requested revision are no longer kept. The update then holds no changes.
    bool incomplete = false;
    std::vector<KeyChange> changes;
    /// In whole states, the scope of the items.
    std::string scope{};
};

/// Keeps a bounded list of changes. Thread-safe.
class ChangeFeed
{
public:
    using Time = SteadyTime;

    /// @p onChange is called after every change of the feed, on the thread that made the change.
    explicit ChangeFeed(std::function<void()> onChange);

    /// Discards all changes after a new listing; those before @p revision are not known any more.
    void restart(std::uint64_t revision, Time confirmedAt);
    void add(const std::vector<KeyChange> &changes, std::uint64_t revision, Time confirmedAt);
    /// Records that the store confirmed the current state at @p at.
    void confirm(Time at);
    void setReachable(bool reachable);

    /// Returns the state with the changes after @p revision.
    FeedUpdate since(std::uint64_t revision) const;

private:
    mutable std::mutex mutex_;
    std::function<void()> onChange_;
    std::deque<KeyChange> changes_;
    /// The revision after which the list contains all changes.
    std::uint64_t completeSince_ = 0;
    std::uint64_t revision_ = 0;
    Time confirmedAt_{};
    bool reachable_ = false;
};

} // namespace Portpaddle
