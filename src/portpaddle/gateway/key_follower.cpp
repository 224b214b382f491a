// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/key_follower.h"

#include <algorithm>
#include <thread>

namespace Portpaddle {

namespace {

// How long one call waits for changes: each waiting call is paid for, a longer one notices a stopping process later.
constexpr Millis waitTime{ 25'000 };
// After a failure; doubled up to the longest. A store that is back must be noticed within a second.
constexpr Millis firstPause{ 100 };
constexpr Millis longestPause{ 400 };
constexpr unsigned mostDoublings = 4;
// Changes come in bursts and each waiting call is paid for: the next one takes what gathered meanwhile. Short enough where
// upstreams that leave and configurations allow three seconds.
constexpr Millis usualGatherPause{ 500 };
// Two rounds find a lost answer well within the few seconds that a configuration may take; each costs a tenth of a call.
constexpr Millis verifyInterval{ 1'200 };
constexpr Millis verifyStep{ 100 };
// A configuration must be in force within a few seconds; a state of some hundred routes has 100 KB.
constexpr Millis betweenPeerQuestions{ 1'000 };

} // namespace

KeyFollower::KeyFollower(std::string prefix, WatchedStore &store, KeyListener &listener, const PeerStateClient *peers,
                         WatchedStore *verifier)
    : prefix_(std::move(prefix))
    , store_(store)
    , listener_(listener)
    , peers_(peers)
    , verifier_(verifier)
    , gatherPause_(usualGatherPause)
{
}

KeyFollower::~KeyFollower()
{
    stop();
}

void KeyFollower::setGatherPause(Millis pause)
{
    gatherPause_ = pause;
}

void KeyFollower::start()
{
    thread_ = Thread("follow", [this] { run(); });
    if (verifier_ != nullptr) {
        verifierThread_ = Thread("verify", [this] { verify(); });
    }
}

void KeyFollower::stop()
{
    stopping_ = true;
    thread_.join();
    verifierThread_.join();
}

void KeyFollower::run()
{
    while (!stopping_) {
        if (listed_ || list()) {
            follow();
        }
    }
}

bool KeyFollower::list()
{
    const Result<KeyListing> listing = store_.listAll(prefix_);
    if (!isOk(listing)) {
        noteFailure(errorOf(listing));
        return false;
    }
    noteSuccess();
    listener_.listed(valueOf(listing).items);
    revision_ = valueOf(listing).revision;
    listed_ = true;
    return true;
}

void KeyFollower::follow()
{
    const Result<KeyChanges> reply = store_.follow(prefix_, revision_, waitTime);
    if (!isOk(reply)) {
        listed_ = errorOf(reply).code != ErrorCode::HistoryGone;
        if (listed_) {
            noteFailure(errorOf(reply));
        }
        return;
    }
    noteSuccess();
    for (const KeyChange &change : valueOf(reply).changes) {
        listener_.changed(change);
    }
    revision_ = std::max(revision_.load(), valueOf(reply).revision);
    if (!valueOf(reply).changes.empty() && !stopping_) {
        std::this_thread::sleep_for(gatherPause_);
    }
}

/// A store may lose the answer to a waiting call and keep the connection: then changes pass by while the call still waits.
void KeyFollower::verify()
{
    std::uint64_t behindAt = 0;
    while (!stopping_) {
        for (Millis slept{ 0 }; slept < verifyInterval && !stopping_; slept += verifyStep) {
            std::this_thread::sleep_for(verifyStep);
        }
        const std::uint64_t known = revision_;
        const Result<std::uint64_t> newest = verifier_->newestRevision();
        const bool behind = listed_ && isOk(newest) && valueOf(newest) > revision_;
        // Behind twice at the same revision: the answer is not on its way any more.
        if (behind && behindAt == known) {
            store_.interrupt();
            behindAt = 0;
        } else {
            behindAt = behind ? known : 0;
        }
    }
}

void KeyFollower::noteFailure(const Error &error)
{
    if (!lost_) {
        lost_ = true;
        listener_.storeLost(error);
    }
    const Millis pause = std::min(longestPause, firstPause * (1U << std::min(failures_, mostDoublings)));
    ++failures_;
    askPeers();
    std::this_thread::sleep_for(pause);
}

/// While the store is away other daemons may still reach it.
void KeyFollower::askPeers()
{
    const auto now = std::chrono::steady_clock::now();
    if (peers_ == nullptr || now - askedPeersAt_ < betweenPeerQuestions) {
        return;
    }
    askedPeersAt_ = now;
    const Result<std::vector<KeyValue>> items = peers_->fetch();
    if (isOk(items)) {
        listener_.handedOn(valueOf(items));
    }
}

void KeyFollower::noteSuccess()
{
    failures_ = 0;
    if (lost_) {
        lost_ = false;
        listener_.storeBack();
    }
}

} // namespace Portpaddle
