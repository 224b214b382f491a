// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Watches all keys under a prefix of the store, across outages and compacted history.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/change_filter.h"
#include "portpaddle/fleet/store_replica.h"
#include "portpaddle/interfaces/watched_store.h"
#include "portpaddle/store_following/state_exchange.h"
#include "portpaddle/store_following/store_contact.h"

#include <atomic>
#include <memory>

namespace Portpaddle {

/// Receives the keys and their changes on the watcher's thread.
class WatchListener
{
public:
    virtual ~WatchListener() = default;
    /// Reports all keys; a key that was reported before and is missing here was removed.
    virtual void listed(const std::vector<KeyValue> &items) = 0;
    /// Reports changes in the order in which they happened, none older than what was reported before.
    virtual void changed(const std::vector<KeyChange> &changes) = 0;
    virtual void onStoreUnavailable(const Error &error) = 0;
    virtual void onStoreAvailable() = 0;
    /// Reports changes that another daemon knew of during an outage of the store, none older than what was reported before.
    /// @p confirmed tells whether the store confirmed that daemon's state recently.
    virtual void receivedFromPeer(const std::vector<KeyChange> &changes, bool confirmed) = 0;
};

/// Watches the store on its own thread until the process ends or stop() is called.
class StoreWatcher
{
public:
    /// @p store and @p listener must outlive the watcher, and so must @p peers if given: they are asked during an outage of the
    /// store. With @p verifier, another connection to the same store, a watch call whose answer was lost is detected and
    /// repeated, and the silence of the store is noticed while a call waits.
    StoreWatcher(std::string prefix, WatchedStore &store, WatchListener &listener, const PeerStateClient *peers = nullptr,
                 WatchedStore *verifier = nullptr);
    ~StoreWatcher();

    /// Drops what @p filter does not keep, before it is reported or relayed; @p filter must outlive the watcher. Call before
    /// start().
    void setFilter(const ChangeFilter *filter);
    /// Keys with this prefix are listed again after a listing that took long. Call before start().
    void setUrgentPrefix(std::string prefix);
    /// Fills @p feed, which must outlive the watcher, with changes for other daemons. Call before start().
    void setFeed(ChangeFeed *feed);
    /// Sets how long changes are collected before the next watch call takes them. Call before start().
    void setCoalescingDelay(Millis delay);
    void start();
    /// Returns when the call in progress, if any, has ended.
    void stop();
    /// Takes items that another daemon knows, without what it does not know. Thread-safe.
    void takeItems(PeerState peer);
    /// Returns all that was reported, for other daemons. Thread-safe.
    StoreState state() const;

private:
    void run();
    bool list();
    void takeListing(KeyListing &listing);
    /// Takes the changes up to @p revision without reporting them one by one; stops where the store does not answer.
    void catchUp(std::uint64_t revision);
    void follow();
    void logPeerState(const PeerState &peer, std::size_t changes) const;
    /// Handles the failure of a call that began at @p began, and waits until the next one is due.
    void recordFailure(const Error &error, SteadyTime began);
    /// Waits for @p time, or until the store answers what was asked after @p began.
    void pause(Millis time, SteadyTime began) const;
    void fetchFromPeers(SteadyTime began);
    void verify();
    void awaitCheck() const;
    /// Checks the open call over the other connection.
    CheckVerdict check();
    void recordSuccess();
    /// Replaces the urgent items of @p listing by those that the store has now; leaves them if the store does not answer.
    void renewUrgent(KeyListing &listing);
    std::vector<KeyValue> filtered(std::vector<KeyValue> items) const;
    std::vector<KeyChange> filtered(std::vector<KeyChange> changes) const;
    /// Names the selection that the filter makes.
    std::string scope() const;
    void updateFeedReachability(bool reachable);

    std::string prefix_;
    WatchedStore &store_;
    WatchListener &listener_;
    const PeerStateClient *peers_;
    SteadyTime fetchedFromPeersAt_{};
    WatchedStore *verifier_;
    const ChangeFilter *filter_ = nullptr;
    std::string urgentPrefix_;
    ChangeFeed *feed_ = nullptr;
    Millis coalescingDelay_;
    StoreReplica replica_;
    /// The revision after which changes are requested; the replica may contain later ones.
    std::atomic<std::uint64_t> revision_{ 0 };
    std::atomic<bool> listed_{ false };
    /// Whether changes come by way of another daemon.
    std::atomic<bool> relayed_{ false };
    /// When the last answer about changes came, from the store or a daemon.
    std::atomic<SteadyTime> answeredAt_{ SteadyTime{} };
    /// The call in progress was interrupted because its answer is lost.
    std::atomic<bool> interrupted_{ false };
    StoreContact contact_;
    bool storeUnavailable_ = true;
    unsigned failures_ = 0;
    std::atomic<bool> stopping_{ false };
    Thread thread_;
    Thread verifierThread_;
};

} // namespace Portpaddle
