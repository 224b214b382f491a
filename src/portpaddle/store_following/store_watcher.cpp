// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/store_watcher.h"

#include "portpaddle/base/log.h"

#include <algorithm>
#include <iterator>
#include <thread>

namespace Portpaddle {

namespace {

// How long one call waits for changes: each watch call is paid for, but a longer one delays the stop of the process.
constexpr Millis watchTimeout{ 25'000 };
// How long a call waits that proves the contact with the store.
constexpr Millis proofWait{ 10 };
// Initial wait after a failure; doubled up to the maximum. The return of the store must be noticed within a second.
constexpr Millis initialBackoff{ 100 };
constexpr Millis maxBackoff{ 400 };
constexpr unsigned maxDoublings = 4;
// After a listing that took longer, its urgent items are read again.
constexpr Millis maxListingTime{ 1'000 };
// Changes come in bursts and each watch call is paid for: the next call takes what was collected meanwhile. The delay is short
// enough for leaving upstreams and configurations to take effect within three seconds.
constexpr Millis usualCoalescingDelay{ 500 };
// The store answers a watch call with some hundred changes at most. After so many, more may be waiting, and a delay after each
// answer would let a daemon fall behind a store that has more changes a second than answers in that time hold.
constexpr std::size_t minChangesWhenBehind = 64;
// Delay for changes relayed by another daemon, which has already coalesced them.
constexpr Millis relayedCoalescingDelay{ 100 };
// The changes that a listing missed exist already, so the store has no reason to wait.
constexpr Millis maxCatchUpWait{ 500 };
// Steps of a wait that may end early.
constexpr Millis pauseStep{ 50 };
// Daemons that relay changes answer each second. After a longer silence the watch call may have gone to the store itself, so the
// check is made again.
constexpr Millis maxRelaySilence{ 2'000 };
// Time between two fetches from peers: a configuration must be in force within a few seconds, and a state of some hundred routes
// has 100 KB.
constexpr Millis peerFetchInterval{ 1'000 };

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

void StoreWatcher::setCoalescingDelay(Millis delay)
{
    coalescingDelay_ = delay;
}

void StoreWatcher::setFilter(const ChangeFilter *filter)
{
    filter_ = filter;
}

std::vector<KeyValue> StoreWatcher::filtered(std::vector<KeyValue> items) const
{
    if (filter_ != nullptr) {
        std::erase_if(items, [this](const KeyValue &item) { return !filter_->keeps(item); });
    }
    return items;
}

/// A known item that is to be kept no longer becomes a removal. So does one that the replica may have dropped already because of
/// a later state: daemons that follow this one may still have it.
std::vector<KeyChange> StoreWatcher::filtered(std::vector<KeyChange> changes) const
{
    if (filter_ == nullptr) {
        return changes;
    }
    std::vector<KeyChange> result;
    for (KeyChange &change : changes) {
        const bool kept = !change.removed && filter_->keeps(change.item);
        if (kept) {
            result.push_back(std::move(change));
        } else if (replica_.contains(change.item.key) || change.item.revision <= replica_.revision()) {
            result.push_back({ { change.item.key, {}, change.item.revision }, true });
        }
    }
    return result;
}

void StoreWatcher::setUrgentPrefix(std::string prefix)
{
    urgentPrefix_ = std::move(prefix);
}

// The first pages of a listing are as old as the listing took. Of many thousand keys that may be longer than a configuration may
// take to be in force, and longer than the store keeps its history.
void StoreWatcher::renewUrgent(KeyListing &listing)
{
    if (urgentPrefix_.empty()) {
        return;
    }
    Result<KeyListing> urgent = store_.listAll(urgentPrefix_, ReadFreshness::Newest);
    if (!isOk(urgent) || valueOf(urgent).relayed) {
        return;
    }
    listing.newestRevision = std::max(listing.newestRevision, valueOf(urgent).revision);
    std::erase_if(listing.items, [this](const KeyValue &item) { return item.key.starts_with(urgentPrefix_); });
    std::move(valueOf(urgent).items.begin(), valueOf(urgent).items.end(), std::back_inserter(listing.items));
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
    // The state that this daemon knows already must not go backwards; a daemon without any state catches up with the first
    // changes.
    const ReadFreshness freshness = replica_.isEmpty() ? ReadFreshness::MayBeStale : ReadFreshness::Newest;
    const SteadyTime begin = BootClock::now();
    Result<KeyListing> listing = store_.listAll(prefix_, freshness);
    if (!isOk(listing)) {
        contact_.recordFailure(BootClock::now());
        recordFailure(errorOf(listing), begin);
        return false;
    }
    contact_.recordAnswer(valueOf(listing).confirmedAt);
    recordSuccess();
    if (BootClock::now() - begin > maxListingTime && !valueOf(listing).relayed) {
        renewUrgent(valueOf(listing));
    }
    takeListing(valueOf(listing));
    revision_ = valueOf(listing).revision;
    catchUp(valueOf(listing).newestRevision);
    listener_.listed(replica_.items());
    listed_ = true;
    if (feed_ != nullptr) {
        feed_->restart(revision_, valueOf(listing).confirmedAt);
    }
    return true;
}

void StoreWatcher::takeListing(KeyListing &listing)
{
    std::vector<KeyValue> items = filtered(std::move(listing.items));
    if (listing.relayed) {
        replica_.merge({ std::move(items), listing.revision, scope() }, StateCoverage::AllKeys);
    } else {
        replica_.replace(std::move(items), listing.revision);
    }
}

// A key may be missing on a later page of a listing although the changes after the first page still report it, first as present
// and then as removed. Until those changes are in, the listing is not one state.
void StoreWatcher::catchUp(std::uint64_t revision)
{
    while (revision_ < revision && !stopping_) {
        Result<KeyChanges> reply = store_.follow(prefix_, revision_, maxCatchUpWait);
        if (!isOk(reply) || valueOf(reply).revision <= revision_) {
            return;
        }
        replica_.apply(filtered(std::move(valueOf(reply).changes)), valueOf(reply).revision);
        revision_ = valueOf(reply).revision;
    }
}

void StoreWatcher::follow()
{
    const SteadyTime begin = BootClock::now();
    const Millis wait = contact_.beginCall(begin) == CallKind::Proof ? proofWait : watchTimeout;
    Result<KeyChanges> reply = store_.follow(prefix_, revision_, wait);
    const bool interrupted = interrupted_.exchange(false);
    if (!isOk(reply)) {
        contact_.recordFailure(BootClock::now());
        listed_ = errorOf(reply).code != ErrorCode::HistoryCompacted;
        // After an interruption the store is asked again at once, by a call that proves whether it answers.
        if (listed_ && !interrupted) {
            recordFailure(errorOf(reply), begin);
        }
        return;
    }
    KeyChanges &update = valueOf(reply);
    contact_.recordAnswer(update.confirmedAt);
    recordSuccess();
    const bool behind = update.changes.size() >= minChangesWhenBehind;
    const std::vector<KeyChange> changes = filtered(std::move(update.changes));
    relayed_ = update.relayed;
    answeredAt_ = BootClock::now();
    const std::vector<KeyChange> fresh = replica_.apply(changes, update.revision);
    if (!fresh.empty()) {
        listener_.changed(fresh);
    }
    revision_ = std::max(revision_.load(), update.revision);
    if (feed_ != nullptr) {
        feed_->add(changes, revision_, update.confirmedAt);
    }
    if (!changes.empty() && !behind && !stopping_) {
        std::this_thread::sleep_for(update.relayed ? relayedCoalescingDelay : coalescingDelay_);
    }
}

/// A store may lose the answer to a watch call and keep the connection open: changes are then missed while the call still waits.
void StoreWatcher::verify()
{
    while (!stopping_) {
        awaitCheck();
        if (relayed_ && BootClock::now() - answeredAt_.load() < maxRelaySilence) {
            // The daemon that relays the changes reports when the store confirmed them.
            continue;
        }
        if (check() == CheckVerdict::Lost) {
            interrupted_ = true;
            store_.interrupt();
        }
    }
}

void StoreWatcher::awaitCheck() const
{
    const SteadyTime begin = BootClock::now();
    while (BootClock::now() - begin < contact_.checkInterval() && !stopping_) {
        std::this_thread::sleep_for(pauseStep);
    }
}

CheckVerdict StoreWatcher::check()
{
    const SteadyTime began = BootClock::now();
    const std::uint64_t known = revision_;
    const ReadFreshness freshness = contact_.checkFreshness(began);
    const Result<std::uint64_t> newest = verifier_->newestRevision(freshness);
    if (!isOk(newest)) {
        return contact_.recordFailedCheck(BootClock::now());
    }
    // Before the first listing there is no call that could be behind.
    const std::uint64_t seen = listed_ ? valueOf(newest) : known;
    const CheckVerdict verdict = contact_.recordCheck(began, freshness, seen, known, revision_);
    // A read says little about what other daemons relayed.
    if (feed_ != nullptr && verdict == CheckVerdict::Sound && !relayed_) {
        feed_->confirm(began);
    }
    return verdict;
}

void StoreWatcher::recordFailure(const Error &error, SteadyTime began)
{
    if (!storeUnavailable_) {
        storeUnavailable_ = true;
        updateFeedReachability(false);
        listener_.onStoreUnavailable(error);
    }
    const Millis backoff = std::min(maxBackoff, initialBackoff * (1U << std::min(failures_, maxDoublings)));
    ++failures_;
    fetchFromPeers(began);
    pause(backoff, began);
}

void StoreWatcher::pause(Millis time, SteadyTime began) const
{
    const SteadyTime until = BootClock::now() + time;
    while (BootClock::now() < until && !stopping_ && !contact_.hasAnsweredSince(began)) {
        std::this_thread::sleep_for(std::min(pauseStep, time));
    }
}

/// During an outage of the store other daemons may still reach it.
void StoreWatcher::fetchFromPeers(SteadyTime began)
{
    const auto now = BootClock::now();
    if (peers_ == nullptr || now - fetchedFromPeersAt_ < peerFetchInterval) {
        return;
    }
    fetchedFromPeersAt_ = now;
    Result<PeerState> fetched = peers_->fetch([this, began] { return contact_.hasAnsweredSince(began); });
    if (!isOk(fetched)) {
        return;
    }
    PeerState &peer = valueOf(fetched);
    peer.state.items = filtered(std::move(peer.state.items));
    const StateCoverage coverage = peer.state.scope == scope() ? StateCoverage::AllKeys : StateCoverage::SomeKeys;
    const std::vector<KeyChange> changes = replica_.merge(peer.state, coverage);
    if (!changes.empty()) {
        logPeerState(peer, changes.size());
    }
    listener_.receivedFromPeer(changes, peer.confirmed);
}

void StoreWatcher::logPeerState(const PeerState &peer, std::size_t changes) const
{
    logEvent(LogEvent::PeerStateTaken,
             { { "source", peer.address },
               { "revision", std::to_string(peer.state.revision) },
               { "followed_revision", std::to_string(revision_) },
               { "changes", std::to_string(changes) },
               { "confirmed", peer.confirmed ? "true" : "false" } });
}

// The listener may be told meanwhile of other changes by the thread that follows the store; what it is told here concerns no key
// that must keep an order with others.
void StoreWatcher::takeItems(PeerState peer)
{
    peer.state.items = filtered(std::move(peer.state.items));
    const std::vector<KeyChange> changes = replica_.merge(peer.state, StateCoverage::SomeKeys);
    if (changes.empty()) {
        return;
    }
    logPeerState(peer, changes.size());
    listener_.receivedFromPeer(changes, false);
}

std::string StoreWatcher::scope() const
{
    return filter_ == nullptr ? std::string() : filter_->scope();
}

StoreState StoreWatcher::state() const
{
    StoreState state = replica_.state();
    state.scope = scope();
    return state;
}

void StoreWatcher::recordSuccess()
{
    failures_ = 0;
    if (storeUnavailable_) {
        storeUnavailable_ = false;
        listener_.onStoreAvailable();
        updateFeedReachability(true);
    }
}

void StoreWatcher::updateFeedReachability(bool reachable)
{
    if (feed_ != nullptr) {
        feed_->setReachable(reachable);
    }
}

} // namespace Portpaddle
