// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Serves the store's contents and changes to other daemons.
#pragma once

#include "portpaddle/callers/caller_writer.h"
#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/store_replica.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Portpaddle {

/// Paths that a daemon serves on its link address: the whole state that it knows, and the changes since a revision.
inline constexpr const char *statePath = "/portpaddle/state";
inline constexpr const char *changesPath = "/portpaddle/changes";
/// Path of those items of the state whose keys begin with what follows.
inline constexpr const char *itemsPath = "/portpaddle/items?prefix=";
/// How long a request for changes waits for one. By its next request the client notices whether this daemon is healthy.
inline constexpr std::chrono::milliseconds maxFeedWait{ 1'000 };
/// The state that a daemon knows is relied on while the store has confirmed it within this time: the daemon asks the store every
/// 1.2 s, and changes must take effect within a few seconds.
inline constexpr std::chrono::milliseconds maxConfirmationAge{ 2'500 };

/// Handles the requests by which other daemons read the store's state from this one.
class PeerRequestHandler
{
public:
    virtual ~PeerRequestHandler() = default;
    /// Whether @p target is the target of such a request.
    virtual bool handles(const std::string &target) const = 0;
    virtual Task<WholeAnswer> answer(std::string target) = 0;
};

/// Serves a ChangeFeed. Belongs to one event loop; the feed may be changed by another thread.
class FeedServer : public PeerRequestHandler
{
public:
    /// @p readState returns all that this daemon knows of the store; it is safe to call from any thread.
    FeedServer(Executor executor, std::string daemon, const ChangeFeed &feed, std::function<StoreState()> readState);

    bool handles(const std::string &target) const override;
    Task<WholeAnswer> answer(std::string target) override;
    /// Wakes the waiting requests after a change of the feed. Must be called on the event loop.
    void wake();

private:
    Task<WholeAnswer> answerChanges(std::uint64_t revision);
    WholeAnswer answerState();
    WholeAnswer answerItems(std::string_view prefix) const;
    std::string encodeKnownState(FeedUpdate update) const;
    /// Returns an answer with the encoding of @p update that @p encode makes. Requests for the same bytes share them.
    WholeAnswer sharedAnswer(std::uint64_t after, const FeedUpdate &update, const std::function<std::string()> &encode);

    Executor executor_;
    std::string daemon_;
    const ChangeFeed &feed_;
    std::function<StoreState()> readState_;
    std::set<SteadyTimer *> waitingTimers_;
    /// An encoded answer, for as long as it can be used for other requests.
    struct Encoded
    {
        std::uint64_t after = 0;
        std::uint64_t revision = 0;
        bool reachable = false;
        SteadyTime usableUntil{};
        bool compressed = false;
        std::shared_ptr<const std::string> bytes;
    };

    /// The newest last.
    std::deque<Encoded> encoded_;
};

} // namespace Portpaddle
