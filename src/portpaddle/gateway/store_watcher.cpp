// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/store_watcher.h"

#include <algorithm>
#include <thread>

namespace Portpaddle {

namespace {

// How long one call waits for changes: each waiting call is paid for, a longer one notices a stopping process later.
constexpr Millis waitTime{ 25'000 };
// After a failure; doubled up to the longest. A store that is back must be noticed within a second.
constexpr Millis firstPause{ 100 };
constexpr Millis longestPause{ 400 };
constexpr unsigned maxDoublings = 4;
// Changes come in bursts and each waiting call is paid for: the next one takes what gathered meanwhile. Short enough where
// upstreams that leave and configurations allow three seconds.
constexpr Millis usualCoalescingDelay{ 500 };
// Changes that another daemon hands on have gathered there.
constexpr Millis relayedCoalescingDelay{ 100 };
// Two rounds find a lost answer well within the few seconds that a configuration may take; each costs a tenth of a call.
constexpr Millis verifyInterval{ 1'200 };
constexpr Millis verifyStep{ 100 };
// Daemons that hand on changes answer each second; after this the store itself may be waited for.
constexpr Millis longestRelaySilence{ 2'000 };
// A configuration must be in force within a few seconds; a state of some hundred routes has 100 KB.
constexpr Millis betweenPeerQuestions{ 1'000 };

} // namespace

StoreWatcher::StoreWatcher(std::string prefix, WatchedStore &store, WatchListener &listener, const PeerStateClient *peers,
                           WatchedStore *verifier)
    : prefix_(std::move(prefix))
    , store_(store)
    , listener_(listener)
    , peers_(peers)
    , verifier_(verifier)
    , coalescingDelay_(usualCoalescingDelay)
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

void StoreWatcher::setCoalescingDelay(Millis pause)
{
    coalescingDelay_ = pause;
}

void StoreWatcher::setFeed(ChangeFeed *feed)
{
    feed_ = feed;
}

void StoreWatcher::start()
{
    thread_ = Thread("follow", [this] { run(); });
    if (verifier_ != nullptr) {
        verifierThread_ = Thread("verify", [this] { verify(); });
    }
}

void StoreWatcher::stop()
{
    stopping_ = true;
    thread_.join();
    verifierThread_.join();
}

void StoreWatcher::run()
{
    while (!stopping_) {
        if (listed_ || list()) {
            follow();
        }
    }
}

bool StoreWatcher::list()
{
    // What this daemon knows already must not fall behind; one that knows nothing catches up with the first changes.
    const ReadFreshness freshness = revision_ == 0 ? ReadFreshness::MayBeStale : ReadFreshness::Newest;
    const Result<KeyListing> listing = store_.listAll(prefix_, freshness);
    if (!isOk(listing)) {
        noteFailure(errorOf(listing));
        return false;
    }
    noteSuccess();
    listener_.listed(valueOf(listing).items);
    revision_ = valueOf(listing).revision;
    listed_ = true;
    if (feed_ != nullptr) {
        feed_->restart(revision_, valueOf(listing).confirmedAt);
    }
    return true;
}

void StoreWatcher::follow()
{
    const Result<KeyChanges> reply = store_.follow(prefix_, revision_, waitTime);
    if (!isOk(reply)) {
        listed_ = errorOf(reply).code != ErrorCode::HistoryCompacted;
        if (listed_) {
            noteFailure(errorOf(reply));
        }
        return;
    }
    noteSuccess();
    const KeyChanges &news = valueOf(reply);
    relayed_ = news.relayed;
    answeredAt_ = BootClock::now();
    if (!news.changes.empty()) {
        listener_.changed(news.changes);
    }
    revision_ = std::max(revision_.load(), news.revision);
    if (feed_ != nullptr) {
        feed_->add(news.changes, revision_, news.confirmedAt);
    }
    if (!news.changes.empty() && !stopping_) {
        std::this_thread::sleep_for(news.relayed ? relayedCoalescingDelay : coalescingDelay_);
    }
}

/// A store may lose the answer to a waiting call and keep the connection: then changes pass by while the call still waits.
void StoreWatcher::verify()
{
    std::uint64_t behindAt = 0;
    while (!stopping_) {
        for (const SteadyTime until = BootClock::now() + verifyInterval; BootClock::now() < until && !stopping_;) {
            std::this_thread::sleep_for(verifyStep);
        }
        if (relayed_ && BootClock::now() - answeredAt_.load() < longestRelaySilence) {
            // Whoever hands on the changes says when the store confirmed them.
            continue;
        }
        const std::uint64_t known = revision_;
        const Result<std::uint64_t> newest = verifier_->newestRevision();
        const bool behind = listed_ && isOk(newest) && valueOf(newest) > revision_;
        // A cheap read may be old itself: it says little of what other daemons handed on.
        if (feed_ != nullptr && isOk(newest) && !behind && !relayed_) {
            feed_->confirm(BootClock::now());
        }
        // Behind twice at the same revision: the answer is not on its way any more.
        if (behind && behindAt == known) {
            store_.interrupt();
            behindAt = 0;
        } else {
            behindAt = behind ? known : 0;
        }
    }
}

void StoreWatcher::noteFailure(const Error &error)
{
    if (!lost_) {
        lost_ = true;
        tellFeed(false);
        listener_.onStoreUnavailable(error);
    }
    const Millis pause = std::min(longestPause, firstPause * (1U << std::min(failures_, maxDoublings)));
    ++failures_;
    askPeers();
    std::this_thread::sleep_for(pause);
}

/// While the store is away other daemons may still reach it.
void StoreWatcher::askPeers()
{
    const auto now = BootClock::now();
    if (peers_ == nullptr || now - askedPeersAt_ < betweenPeerQuestions) {
        return;
    }
    askedPeersAt_ = now;
    const Result<std::vector<KeyValue>> items = peers_->fetch();
    if (isOk(items)) {
        listener_.receivedFromPeer(valueOf(items));
    }
}

void StoreWatcher::noteSuccess()
{
    failures_ = 0;
    if (lost_) {
        lost_ = false;
        listener_.onStoreAvailable();
        tellFeed(true);
    }
}

void StoreWatcher::tellFeed(bool reachable)
{
    if (feed_ != nullptr) {
        feed_->setReachable(reachable);
    }
}

} // namespace Portpaddle
