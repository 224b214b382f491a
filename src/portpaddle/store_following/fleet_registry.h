// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Builds the view of the fleet from the store's records, also during outages of the store, and publishes it.
#pragma once

#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_limits/limit_record.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// Collects records and publishes views of them. Thread-safe. @p published of the constructor is called after each publication,
/// on the thread that caused it.
class FleetRegistry
{
public:
    FleetRegistry(RcuCell<FleetView> &cell, std::function<void()> published);

    /// Changes until the next endBatch() are published together with it.
    void beginBatch();
    void endBatch();
    /// Applies a configuration unless it is older than the one in force; returns false then.
    bool takeConfiguration(std::shared_ptr<const ServiceMap> services);
    void listUpstreams(std::vector<UpstreamRecord> records, SteadyTime now);
    void changeUpstream(UpstreamRecord record);
    void removeUpstream(const std::string &name, SteadyTime now);
    /// Treats the record registered as @p name as unreadable: removes the upstream at once, also during an outage of the store,
    /// until the record can be read again.
    void rejectUpstream(const std::string &name);
    void listEvacuations(std::set<std::string> dataCentres);
    void changeEvacuation(const std::string &dataCentre, bool evacuated);
    void listDaemons(std::vector<DaemonRecord> daemons, SteadyTime now);
    void changeDaemon(DaemonRecord daemon);
    void removeDaemon(const std::string &id, SteadyTime now);
    void listQuarantine(const std::set<RequestFingerprint> &requests, SteadyTime now);
    void changeQuarantine(const RequestFingerprint &request, bool isQuarantined, SteadyTime now);
    void listUpstreamLimits(StoredLimits limits);
    /// @p limit has no value where the record of @p upstream is gone or cannot be read.
    void changeUpstreamLimit(std::uint64_t upstream, const std::optional<StoredLimit> &limit);
    void listRollouts(Rollouts rollouts);
    /// @p order has no value where the order is gone or cannot be read.
    void changeRolloutOrder(const std::string &service, std::optional<RolloutOrder> order);
    /// @p record has no value where the record is gone or cannot be read.
    void changeRolloutRecord(const std::string &service, std::optional<RolloutRecord> record);
    void listVersionSets(VersionSets sets);
    /// @p set has no value where the record is gone or cannot be read.
    void changeVersionSet(const VersionSetPlace &place, const std::optional<VersionSet> &set);
    void onStoreUnavailable(SteadyTime now);
    void onStoreAvailable(SteadyTime now);
    /// Removes records that expired and were not registered again; call a few times a second.
    void tick(SteadyTime now);
    /// Removes upstreams that expired during an outage of the store. Call it when another daemon that has contact with the store
    /// does not know them either.
    void dropExpiredUpstreams(SteadyTime now);
    /// Returns whether the store lists the daemon @p id.
    bool knowsDaemon(const std::string &id) const;

private:
    struct UpstreamEntry
    {
        /// Id of the incarnation that is registered.
        std::string id;
        /// Set where the record expired during an outage of the store: it counts until this time.
        std::optional<SteadyTime> expiresAt;
    };

    struct DaemonEntry
    {
        DaemonRecord record;
        /// As in UpstreamEntry.
        std::optional<SteadyTime> expiresAt;
    };

    /// Returns until when a record that is missing now still counts; no value when it is removed at once.
    std::optional<SteadyTime> graceFor(SteadyTime now) const;
    void storeUpstream(UpstreamRecord record);
    void storeDaemon(DaemonRecord record);
    /// Removes the entry @p key of @p entries, or lets it expire later; returns whether it was removed.
    template<typename Entries>
    bool drop(Entries &entries, const std::string &key, SteadyTime now);
    template<typename Entries>
    void dropUnlisted(Entries &entries, const std::set<std::string> &listed, SteadyTime now);
    template<typename Entries>
    bool dropExpired(Entries &entries, SteadyTime now);
    void erase(std::unordered_map<std::string, UpstreamEntry> &entries, const std::string &name);
    void erase(std::map<std::string, DaemonEntry> &entries, const std::string &id);
    void publish();

    RcuCell<FleetView> &cell_;
    std::function<void()> published_;
    mutable std::mutex mutex_;
    std::shared_ptr<const ServiceMap> services_;
    /// By the name under which they registered.
    std::unordered_map<std::string, UpstreamEntry> upstreamEntries_;
    CopyOnWriteMap<UpstreamRecord> upstreams_;
    std::map<std::string, DaemonEntry> daemonEntries_;
    /// The records of daemonEntries_, unless they have changed since.
    SharedList<DaemonRecord> daemons_;
    bool daemonsChanged_ = false;
    std::set<std::string> evacuated_;
    QuarantinedRequests quarantined_;
    StoredLimits upstreamLimits_;
    Rollouts rollouts_;
    VersionSets versionSets_;
    bool storeReachable_ = false;
    bool everReachable_ = false;
    bool inBatch_ = false;
    bool publishPending_ = false;
    /// Until this time a removed record may only have lost its lease during an outage of the store, so it is kept.
    SteadyTime graceUntil_{};
};

} // namespace Portpaddle
