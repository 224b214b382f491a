// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps the picture of the fleet from what the store tells, also while the store is away, and publishes it.
#pragma once

#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/upstream_limits/limit_record.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Portpaddle {

/// Thread-safe. @p published of the constructor is called after each publication, on the thread that caused it.
class FleetRegistry
{
public:
    FleetRegistry(RcuCell<FleetView> &cell, std::function<void()> published);

    /// Changes until the next endBatch() are published together with it.
    void beginBatch();
    void endBatch();
    /// Takes a configuration unless it is older than the one in force; false then.
    bool takeConfiguration(std::shared_ptr<const ServiceMap> services);
    void listUpstreams(std::vector<UpstreamRecord> records, SteadyTime now);
    void changeUpstream(UpstreamRecord record);
    void removeUpstream(const std::string &name, SteadyTime now);
    /// What is registered as @p name cannot be read: no upstream to use, until it can again. Also while the store is away.
    void rejectUpstream(const std::string &name);
    void listEvacuations(std::set<std::string> dataCentres);
    void changeEvacuation(const std::string &dataCentre, bool evacuated);
    void listDaemons(std::vector<DaemonRecord> daemons, SteadyTime now);
    void changeDaemon(DaemonRecord daemon);
    void removeDaemon(const std::string &id, SteadyTime now);
    void listQuarantine(const std::set<RequestFingerprint> &requests, SteadyTime now);
    void changeQuarantine(const RequestFingerprint &request, bool held, SteadyTime now);
    void listUpstreamLimits(StoredLimits limits);
    /// No value where the record of @p upstream is gone or cannot be read.
    void changeUpstreamLimit(std::uint64_t upstream, const std::optional<StoredLimit> &limit);
    void onStoreUnavailable(SteadyTime now);
    void onStoreAvailable(SteadyTime now);
    /// Removes what lapsed and did not come back; call a few times a second.
    void tick(SteadyTime now);
    /// Whether the store's list names @p id.
    bool knowsDaemon(const std::string &id) const;

private:
    template<typename Record>
    struct Held
    {
        Record record;
        /// Set where the record lapsed while the store was away: it counts until then.
        std::optional<SteadyTime> lapsesAt;
    };

    /// Until when a record that is missing now still counts; no value when it is gone at once.
    std::optional<SteadyTime> graceFor(SteadyTime now) const;
    void storeUpstream(UpstreamRecord record);
    template<typename Record>
    bool drop(std::map<std::string, Held<Record>> &held, const std::string &id, SteadyTime now);
    template<typename Record>
    void dropUnlisted(std::map<std::string, Held<Record>> &held, const std::set<std::string> &listed, SteadyTime now);
    template<typename Record>
    bool dropLapsed(std::map<std::string, Held<Record>> &held, SteadyTime now);
    void publish();

    RcuCell<FleetView> &cell_;
    std::function<void()> published_;
    mutable std::mutex mutex_;
    std::shared_ptr<const ServiceMap> services_;
    /// By the name under which they registered.
    std::map<std::string, Held<UpstreamRecord>> upstreams_;
    std::map<std::string, Held<DaemonRecord>> daemons_;
    std::set<std::string> evacuated_;
    QuarantinedRequests quarantined_;
    StoredLimits upstreamLimits_;
    bool storeReachable_ = false;
    bool everReachable_ = false;
    bool inBatch_ = false;
    bool unpublished_ = false;
    /// Removals before this may be lapses of an outage.
    SteadyTime settledAt_{};
};

} // namespace Portpaddle
