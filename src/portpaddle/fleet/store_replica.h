// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon's copy of the store's contents, merged from the store's answers and the states of other daemons in any order.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Portpaddle {

/// Items of the store, with every change up to a revision; items may be newer.
struct StoreState
{
    std::vector<KeyValue> items;
    std::uint64_t revision = 0;
    /// Names the selection of the items; states with the same scope contain the same keys.
    std::string scope;
};

/// Whether a state contains every key that the replica is to contain.
enum class StateCoverage { AllKeys, SomeKeys };

/// Never goes back: it ignores what is older than what it contains or has seen removed. Thread-safe.
class StoreReplica
{
public:
    /// Takes a listing that the store itself made after all calls whose results were taken before.
    void replace(std::vector<KeyValue> items, std::uint64_t revision);
    /// Takes a state of another daemon, which may be older; returns the changes that are new here.
    std::vector<KeyChange> merge(const StoreState &state, StateCoverage coverage);
    /// Takes the next changes, up to @p revision; returns those that are new here.
    std::vector<KeyChange> apply(const std::vector<KeyChange> &changes, std::uint64_t revision);

    bool contains(const std::string &key) const;
    /// Returns the revision up to which every change is contained; zero before the first state.
    std::uint64_t revision() const;
    /// Whether nothing was taken yet.
    bool isEmpty() const;
    std::vector<KeyValue> items() const;
    /// Returns the items together with their revision, without a scope.
    StoreState state() const;

private:
    /// Whether a change of @p key at @p revision is contained already.
    bool isKnown(const std::string &key, std::uint64_t revision) const;
    std::vector<KeyValue> copyItems() const;

    mutable std::mutex mutex_;
    std::map<std::string, KeyValue> items_;
    std::uint64_t revision_ = 0;
};

} // namespace Portpaddle
