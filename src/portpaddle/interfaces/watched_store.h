// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A key-value store whose changes can be watched.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Portpaddle {

/// All keys under a prefix. The keys may come from several reads, of which later ones may see later revisions.
struct KeyListing
{
    std::vector<KeyValue> items;
    /// The revision after which changes must be followed.
    std::uint64_t revision = 0;
    /// The newest revision of the reads; zero if there was only one. Keys may be missing that were removed up to it.
    std::uint64_t newestRevision = 0;
    /// The time at which the store confirmed this state.
    SteadyTime confirmedAt{};
    /// Whether another daemon relayed the listing.
    bool relayed = false;
};

/// Whether a listing may be some seconds old, which is cheaper for the store. Following changes from the revision of such a
/// listing misses no change.
enum class ReadFreshness { Newest, MayBeStale };

/// A change of one key; the value is empty when the key was removed.
struct KeyChange
{
    KeyValue item;
    bool removed = false;
};

/// Changes in the order in which they happened.
struct KeyChanges
{
    std::vector<KeyChange> changes;
    std::uint64_t revision = 0;
    /// The time at which the store confirmed this state.
    SteadyTime confirmedAt{};
    /// Whether another daemon relayed the changes, without load on the store.
    bool relayed = false;
};

/// Lists and follows keys. Calls block; they are thread-safe.
class WatchedStore
{
public:
    virtual ~WatchedStore() = default;
    virtual Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) = 0;
    /// Waits up to @p timeout for changes after @p revision. HistoryCompacted means that the keys must be listed again. A call
    /// that waits for a second at most fails a second later if no answer comes.
    virtual Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) = 0;
    /// Returns the revision of the newest change; fails within a second.
    virtual Result<std::uint64_t> newestRevision(ReadFreshness freshness) = 0;
    /// Makes a call that is in progress on another thread fail.
    virtual void interrupt() = 0;
};

} // namespace Portpaddle
