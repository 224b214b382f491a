// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Follows the store through other daemons, so that only a few daemons of a region follow the store itself.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class BoundedClient;

struct FeedUpdate;
struct FleetView;

/// How a daemon follows the store's contents.
struct FollowRole
{
    /// Whether the daemon follows the store itself.
    bool direct = true;
    /// Link addresses of the daemons that it follows otherwise, in order of preference.
    std::vector<std::string> sources;
};

/// Returns the role of daemon @p id of @p region in @p view: the few daemons that rank first follow the store itself.
FollowRole followRole(const FleetView &view, const std::string &id, const std::string &region);
/// As followRole(), of the fleet whose daemons have these @p records in the store.
FollowRole followRoleAmong(const std::vector<KeyValue> &records, const std::string &id, const std::string &region);

/// Reads the store's contents from other daemons while these are healthy, and from the store itself otherwise. Calls must not
/// overlap, except interrupt().
class RelayedStore : public WatchedStore
{
public:
    /// Returns the role that follows from the records of the registered daemons.
    using RoleAmong = std::function<FollowRole(const std::vector<KeyValue> &records)>;

    /// @p role returns the current role, and @p roleAmong is asked before the first listing, when no other daemon is known.
    RelayedStore(
        WatchedStore &store, std::function<FollowRole()> role,
        RoleAmong roleAmong = [](const std::vector<KeyValue> &) { return FollowRole{}; });
    ~RelayedStore() override;

    Result<KeyListing> listAll(const std::string &prefix, ReadFreshness freshness) override;
    Result<KeyChanges> follow(const std::string &prefix, std::uint64_t revision, Millis timeout) override;
    Result<std::uint64_t> newestRevision(ReadFreshness freshness) override;
    void interrupt() override;

private:
    using Time = SteadyTime;

    struct Source
    {
        std::shared_ptr<BoundedClient> client;
        Time avoidedUntil{};
    };

    /// Returns the sources of @p role that did not fail recently, in the order in which to ask them.
    std::vector<std::string> usableSources(const FollowRole &role, Time now);
    /// Whether the store is to be asked before further sources, in a search that began at @p searchBegin.
    bool prefersStore(Time searchBegin) const;
    /// Closes the open connections to all sources and the store.
    void dropConnections();
    /// Returns the answer of the daemon at @p address to a request for @p target.
    Result<std::string> request(const std::string &address, const std::string &target);
    /// Returns the decoded answer; an error if the store has not confirmed its state recently.
    Result<FeedUpdate> requestConfirmed(const std::string &address, const std::string &target);
    Result<KeyChanges> followPeer(const std::string &address, std::uint64_t revision);
    Result<KeyListing> listPeer(const std::string &address);
    void avoidSource(const std::string &address, const Error &why);
    /// Returns the current role and logs a change.
    FollowRole currentRole();
    FollowRole roleAmongRegistered();

    WatchedStore &store_;
    std::function<FollowRole()> role_;
    RoleAmong roleAmong_;
    std::mutex mutex_;
    std::unordered_map<std::string, Source> sources_;
    /// The client of the request in progress; interrupt() stops it.
    std::shared_ptr<BoundedClient> activeClient_;
    std::size_t rotation_ = 0;
    std::uint64_t highestRevision_ = 0;
    bool direct_ = true;
    /// Until this time the store is not called, after a call to it failed when all sources had failed as well.
    Time storeRetryAt_{};
};

} // namespace Portpaddle
