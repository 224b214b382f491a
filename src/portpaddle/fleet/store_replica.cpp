// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/store_replica.h"

#include <algorithm>
#include <set>

namespace Portpaddle {

// Removed keys need not be remembered: a key that is missing here although all changes up to the revision are contained has no
// change up to that revision that still counts.
bool StoreReplica::isKnown(const std::string &key, std::uint64_t revision) const
{
    const auto found = items_.find(key);
    const std::uint64_t itemRevision = found == items_.end() ? 0 : found->second.revision;
    return revision <= std::max(revision_, itemRevision);
}

// The store's answers are linearizable, so such a listing is never older than what was learned before it, and it corrects a state
// in which another daemon claimed a revision that the store never had.
void StoreReplica::replace(std::vector<KeyValue> items, std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    items_.clear();
    for (KeyValue &item : items) {
        std::string key = item.key;
        items_.insert_or_assign(std::move(key), std::move(item));
    }
    revision_ = revision;
}

std::vector<KeyChange> StoreReplica::merge(const StoreState &state, StateCoverage coverage)
{
    const std::lock_guard lock(mutex_);
    std::vector<KeyChange> changes;
    std::set<std::string_view> present;
    for (const KeyValue &item : state.items) {
        present.insert(item.key);
        if (!isKnown(item.key, item.revision)) {
            changes.push_back({ item, false });
        }
    }
    if (coverage == StateCoverage::AllKeys) {
        for (const auto &[key, item] : items_) {
            // A newer item may be missing because the state is older.
            if (item.revision <= state.revision && !present.contains(key)) {
                changes.push_back({ { key, {}, state.revision }, true });
            }
        }
        revision_ = std::max(revision_, state.revision);
    }
    for (const KeyChange &change : changes) {
        if (change.removed) {
            items_.erase(change.item.key);
        } else {
            items_[change.item.key] = change.item;
        }
    }
    return changes;
}

std::vector<KeyChange> StoreReplica::apply(const std::vector<KeyChange> &changes, std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    std::vector<KeyChange> fresh;
    for (const KeyChange &change : changes) {
        if (isKnown(change.item.key, change.item.revision)) {
            continue;
        }
        if (change.removed) {
            items_.erase(change.item.key);
        } else {
            items_[change.item.key] = change.item;
        }
        fresh.push_back(change);
    }
    revision_ = std::max(revision_, revision);
    return fresh;
}

bool StoreReplica::contains(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    return items_.contains(key);
}

std::uint64_t StoreReplica::revision() const
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

bool StoreReplica::isEmpty() const
{
    const std::lock_guard lock(mutex_);
    return revision_ == 0 && items_.empty();
}

std::vector<KeyValue> StoreReplica::copyItems() const
{
    std::vector<KeyValue> items;
    items.reserve(items_.size());
    for (const auto &[key, item] : items_) {
        items.push_back(item);
    }
    return items;
}

std::vector<KeyValue> StoreReplica::items() const
{
    const std::lock_guard lock(mutex_);
    return copyItems();
}

StoreState StoreReplica::state() const
{
    const std::lock_guard lock(mutex_);
    return { copyItems(), revision_, {} };
}

} // namespace Portpaddle
