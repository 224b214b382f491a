// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A listener of a store watcher that remembers what it was told.
#pragma once

#include "portpaddle/store_following/store_watcher.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace Portpaddle {

/// Records the notifications of a watcher.
class RecordingListener : public WatchListener
{
public:
    void listed(const std::vector<KeyValue> &items) override
    {
        const std::lock_guard lock(mutex);
        ++listings;
        keys.clear();
        for (const KeyValue &item : items) {
            keys.insert(item.key);
        }
    }

    void changed(const std::vector<KeyChange> &changes) override
    {
        const std::lock_guard lock(mutex);
        for (const KeyChange &change : changes) {
            if (change.removed) {
                keys.erase(change.item.key);
            } else {
                keys.insert(change.item.key);
            }
        }
    }

    void onStoreUnavailable(const Error &) override
    {
        ++unavailableCount;
    }

    void onStoreAvailable() override
    {
        ++availableCount;
    }

    void receivedFromPeer(const std::vector<KeyChange> &changes, bool) override
    {
        RecordingListener::changed(changes);
    }

    bool has(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        return keys.contains(key);
    }

    std::mutex mutex;
    std::set<std::string> keys;
    std::atomic<unsigned> listings{ 0 };
    std::atomic<unsigned> unavailableCount{ 0 };
    std::atomic<unsigned> availableCount{ 0 };
};

} // namespace Portpaddle
