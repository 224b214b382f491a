// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Answers other daemons' questions about what the store holds.
#pragma once

#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/gateway/caller_writer.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Portpaddle {

/// Where a daemon answers on its link address: all that it knows, and what changed.
inline constexpr const char *statePath = "/portpaddle/state";
inline constexpr const char *changesPath = "/portpaddle/changes";
/// The longest that a question about changes waits for one. Whoever asks notices by the next one whether this daemon is well.
inline constexpr std::chrono::milliseconds longestFeedWait{ 1'000 };
/// What a daemon knows of the store counts as news while the store has confirmed it within this time: it asks the store every
/// 1.2 s, and changes must be in force within a few seconds.
inline constexpr std::chrono::milliseconds oldestConfirmation{ 2'500 };

/// Questions of daemons about this one's knowledge of the store.
class PeerRequestHandler
{
public:
    virtual ~PeerRequestHandler() = default;
    /// Whether @p target is one of them.
    virtual bool handles(const std::string &target) const = 0;
    virtual Task<WholeAnswer> answer(std::string target) = 0;
};

/// Belongs to one event loop; the feed may be written by another thread.
class FeedServer : public PeerRequestHandler
{
public:
    /// @p known gives all items, from any thread.
    FeedServer(Executor executor, std::string daemon, const ChangeFeed &feed, std::function<std::vector<KeyValue>()> known);

    bool handles(const std::string &target) const override;
    Task<WholeAnswer> answer(std::string target) override;
    /// The feed has changed. Call on the loop.
    void wake();

private:
    Task<WholeAnswer> answerChanges(std::uint64_t revision);
    WholeAnswer answerState() const;

    Executor executor_;
    std::string daemon_;
    const ChangeFeed &feed_;
    std::function<std::vector<KeyValue>()> known_;
    std::set<SteadyTimer *> waiting_;
};

} // namespace Portpaddle
