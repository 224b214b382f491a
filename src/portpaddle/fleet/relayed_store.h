// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Follows the store by way of other daemons, so that a few follow it for a whole region.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace Portpaddle {

struct FeedUpdate;
struct FleetView;

/// How a daemon gets at the store's contents.
struct FollowRole
{
    /// It follows the store itself.
    bool direct = true;
    /// Link addresses of the daemons that it follows otherwise, the first ones before the others.
    std::vector<std::string> sources;
};

/// The role of daemon @p id of @p region by @p view: the first few by rank follow the store.
FollowRole followRole(const FleetView &view, const std::string &id, const std::string &region);

/// A store whose contents come from other daemons while these are well, and from the store itself otherwise.
/// Calls of one object follow each other.
class RelayedStore : public WatchedStore
{
public:
    RelayedStore(WatchedStore &store, std::function<FollowRole()> role);
    ~RelayedStore() override;

    Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) override;
    Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) override;
    Result<std::uint64_t> newestRevision() override;
    void interrupt() override;

private:
    using Time = SteadyTime;

    struct Source
    {
        std::shared_ptr<httplib::Client> client;
        Time avoidedUntil{};
    };

    /// Those of @p role that did not fail just now, in the order in which to ask them.
    std::vector<std::string> usableSources(const FollowRole &role, Time now);
    /// What the daemon at @p address answers.
    Result<std::string> ask(const std::string &address, const std::string &target);
    /// The same, decoded; an error where what it says was not confirmed by the store lately.
    Result<FeedUpdate> askConfirmed(const std::string &address, const std::string &target);
    Result<KeyChanges> followPeer(const std::string &address, std::uint64_t revision);
    Result<KeyListing> listPeer(const std::string &address);
    void avoid(const std::string &address, const Error &why);
    /// The role of this moment; a change is logged.
    FollowRole currentRole();

    WatchedStore &store_;
    std::function<FollowRole()> role_;
    std::mutex mutex_;
    std::unordered_map<std::string, Source> sources_;
    /// Whose answer is being waited for.
    std::shared_ptr<httplib::Client> asked_;
    std::size_t turn_ = 0;
    std::uint64_t highestRevision_ = 0;
    bool direct_ = true;
    /// After a call to the store that failed as all sources had; until then it is not called again.
    Time storeCallsFrom_{};
};

} // namespace Portpaddle
