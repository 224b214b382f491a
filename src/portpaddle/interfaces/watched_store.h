// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A key-value store whose changes can be followed.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Portpaddle {

/// All keys under a prefix; a read after another may see later ones.
struct KeyListing
{
    std::vector<KeyValue> items;
    /// Follow changes from here.
    std::uint64_t revision = 0;
    /// When the store said so.
    SteadyTime confirmedAt{};
};

/// Whether a listing may be some seconds old, which costs the store less. Whoever follows changes from its revision misses
/// nothing.
enum class ReadFreshness { Newest, MayBeStale };

/// One change; the value is empty where the key was removed.
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
    /// When the store said so.
    SteadyTime confirmedAt{};
    /// They came from another daemon, and cost the store nothing.
    bool relayed = false;
};

/// Calls block; each is safe from any thread.
class WatchedStore
{
public:
    virtual ~WatchedStore() = default;
    virtual Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) = 0;
    /// Waits up to @p timeout for changes after @p revision; HistoryCompacted means that the keys must be listed again.
    virtual Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) = 0;
    /// The revision of the newest change; may be seconds old, and costs little.
    virtual Result<std::uint64_t> newestRevision() = 0;
    /// Makes a call in progress on another thread fail.
    virtual void interrupt() = 0;
};

} // namespace Portpaddle
