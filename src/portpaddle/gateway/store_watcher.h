// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Follows all keys under a prefix of the store, over outages and forgotten history.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/interfaces/watched_store.h"

#include <atomic>
#include <memory>

namespace Portpaddle {

/// Told of keys, on the follower's thread.
class WatchListener
{
public:
    virtual ~WatchListener() = default;
    /// All keys; what was told before and is missing here is gone.
    virtual void listed(const std::vector<KeyValue> &items) = 0;
    /// In the order in which they happened.
    virtual void changed(const std::vector<KeyChange> &changes) = 0;
    virtual void onStoreUnavailable(const Error &error) = 0;
    virtual void onStoreAvailable() = 0;
    /// What another daemon last heard of the store; adds to what is known, removes nothing.
    virtual void receivedFromPeer(const std::vector<KeyValue> &items) = 0;
};

/// Runs a thread until the process ends or stop() is called.
class StoreWatcher
{
public:
    /// @p store and @p listener must outlive the follower, and @p peers if it is given: they are asked while the store is away.
    /// With @p verifier, another connection to the same store, a waiting call whose answer was lost is noticed and repeated.
    StoreWatcher(std::string prefix, WatchedStore &store, WatchListener &listener, const PeerStateClient *peers = nullptr,
                 WatchedStore *verifier = nullptr);
    ~StoreWatcher();

    /// Keeps @p feed, which must outlive the follower, for other daemons. Call before start().
    void setFeed(ChangeFeed *feed);
    /// How long changes gather before the next waiting call takes them. Call before start().
    void setCoalescingDelay(Millis pause);
    void start();
    /// Returns when the call in progress, if any, has ended.
    void stop();

private:
    void run();
    bool list();
    void follow();
    void noteFailure(const Error &error);
    void askPeers();
    void verify();
    void noteSuccess();
    void tellFeed(bool reachable);

    std::string prefix_;
    WatchedStore &store_;
    WatchListener &listener_;
    const PeerStateClient *peers_;
    SteadyTime askedPeersAt_{};
    WatchedStore *verifier_;
    ChangeFeed *feed_ = nullptr;
    Millis coalescingDelay_;
    std::atomic<std::uint64_t> revision_{ 0 };
    std::atomic<bool> listed_{ false };
    /// Changes come by way of another daemon.
    std::atomic<bool> relayed_{ false };
    /// When the last answer about changes came, wherever from.
    std::atomic<SteadyTime> answeredAt_{ SteadyTime{} };
    bool lost_ = true;
    unsigned failures_ = 0;
    std::atomic<bool> stopping_{ false };
    Thread thread_;
    Thread verifierThread_;
};

} // namespace Portpaddle
