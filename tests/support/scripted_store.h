// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A watched store in memory that fails on demand.
#pragma once

#include "portpaddle/interfaces/leased_store.h"
#include "portpaddle/interfaces/watched_store.h"

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace Portpaddle {

/// Keeps the whole history until told to forget it. Thread-safe.
class ScriptedStore : public WatchedStore, public LeasedStore
{
public:
    void set(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        put(key, value, noLease);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        erase(key);
    }

    void setFailing(bool failing)
    {
        const std::lock_guard lock(mutex_);
        failing_ = failing;
        changed_.notify_all();
    }

    /// While silent, calls are taken and never answered: waiting ones hang until they are interrupted, others fail at once, as if
    /// their time had passed. Calls taken in that time stay without an answer afterwards.
    void setSilent(bool silent)
    {
        const std::lock_guard lock(mutex_);
        silent_ = silent;
        changed_.notify_all();
    }

    /// Cheap reads report no newer revision than the present one from now on.
    void holdCheapReads()
    {
        const std::lock_guard lock(mutex_);
        cheapRevision_ = revision_;
    }

    /// Returns the number of calls that are waiting for an answer that does not come.
    unsigned lostCalls() const
    {
        const std::lock_guard lock(mutex_);
        return lostCalls_;
    }

    void forgetHistory()
    {
        const std::lock_guard lock(mutex_);
        history_.clear();
        forgottenTo_ = ++revision_;
        changed_.notify_all();
    }

    void endAllLeases()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> keys;
        for (const auto &[key, entry] : entries_) {
            if (entry.lease != noLease) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        leases_.clear();
    }

    bool has(const std::string &key) const
    {
        const std::lock_guard lock(mutex_);
        return entries_.contains(key);
    }

    std::string value(const std::string &key) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = entries_.find(key);
        return found == entries_.end() ? std::string() : found->second.value;
    }

    unsigned calls() const
    {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

    Result<KeyListing> listAll(const std::string &prefix, ReadFreshness) override
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        if (failing_ || silent_) {
            return down();
        }
        KeyListing listing;
        listing.confirmedAt = BootClock::now();
        listing.revision = revision_;
        for (const auto &[key, entry] : entries_) {
            if (key.starts_with(prefix)) {
                listing.items.push_back({ key, entry.value, entry.revision });
            }
        }
        return listing;
    }

    Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) override
    {
        std::unique_lock lock(mutex_);
        ++calls_;
        KeyChanges changes;
        // Short waits let a test end quickly.
        changed_.wait_for(lock, std::min(timeout, Millis(50)), [&] {
            changes.changes.clear();
            for (const auto &[at, change] : history_) {
                if (at > revision && change.item.key.starts_with(prefix)) {
                    changes.changes.push_back(change);
                }
            }
            return failing_ || silent_ || revision < forgottenTo_ || !changes.changes.empty();
        });
        if (silent_ && timeout >= shortestWait) {
            return hangUntilInterrupted(lock);
        }
        if (losing_ && timeout >= shortestWait && !changes.changes.empty()) {
            losing_ = false;
            lost_ = true;
            changed_.wait(lock, [&] { return !lost_; });
            return down();
        }
        if (failing_ || silent_) {
            return down();
        }
        if (revision < forgottenTo_) {
            return Error{ ErrorCode::HistoryCompacted, "forgotten", RunState::NotRun, {} };
        }
        changes.revision = revision_;
        changes.confirmedAt = BootClock::now();
        return changes;
    }

    /// Makes the next waiting call that has changes to report hang until it is interrupted, as if its answer had been lost.
    void loseNextAnswer()
    {
        const std::lock_guard lock(mutex_);
        losing_ = true;
    }

    Result<std::uint64_t> newestRevision(ReadFreshness freshness) override
    {
        const std::lock_guard lock(mutex_);
        if (failing_ || silent_) {
            return down();
        }
        return freshness == ReadFreshness::Newest ? revision_ : std::min(revision_, cheapRevision_);
    }

    void interrupt() override
    {
        const std::lock_guard lock(mutex_);
        lost_ = false;
        ++interrupts_;
        changed_.notify_all();
    }

    Result<LeaseGrant> grantLease(Millis timeToLive) override
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        if (failing_) {
            return down();
        }
        leases_[++nextLease_] = true;
        return LeaseGrant{ nextLease_, timeToLive };
    }

    Status keepLease(std::uint64_t lease) override
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        if (failing_) {
            return down();
        }
        return leases_.contains(lease) ? success() : Status(Error{ ErrorCode::NotFound, "no lease", RunState::NotRun, {} });
    }

    Status revokeLease(std::uint64_t lease) override
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        std::erase_if(entries_, [lease](const auto &item) { return item.second.lease == lease; });
        leases_.erase(lease);
        return success();
    }

    Result<std::uint64_t> write(const std::string &key, const std::string &value, std::uint64_t lease) override
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        if (failing_) {
            return down();
        }
        put(key, value, lease);
        return revision_;
    }

private:
    struct Entry
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = noLease;
    };

    /// Calls that wait for less are answered or fail at once.
    static constexpr Millis shortestWait{ 1'000 };

    Error hangUntilInterrupted(std::unique_lock<std::mutex> &lock)
    {
        const unsigned before = interrupts_;
        ++lostCalls_;
        changed_.wait(lock, [&] { return interrupts_ != before; });
        --lostCalls_;
        return down();
    }

    static Error down()
    {
        return Error{ ErrorCode::PlatformUnavailable, "down", RunState::NotRun, {} };
    }

    void put(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        entries_[key] = { value, ++revision_, lease };
        history_[revision_] = { { key, value, revision_ }, false };
        changed_.notify_all();
    }

    void erase(const std::string &key)
    {
        entries_.erase(key);
        ++revision_;
        history_[revision_] = { { key, {}, revision_ }, true };
        changed_.notify_all();
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> entries_;
    std::map<std::uint64_t, KeyChange> history_;
    std::map<std::uint64_t, bool> leases_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgottenTo_ = 0;
    std::uint64_t nextLease_ = 0;
    unsigned calls_ = 0;
    bool failing_ = false;
    bool losing_ = false;
    bool lost_ = false;
    bool silent_ = false;
    unsigned interrupts_ = 0;
    unsigned lostCalls_ = 0;
    std::uint64_t cheapRevision_ = std::numeric_limits<std::uint64_t>::max();
};

} // namespace Portpaddle
