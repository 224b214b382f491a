// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Detects upstreams that crash while they run requests, and stops sending the requests that crash them.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/crashes/completed_requests.h"
#include "portpaddle/crashes/crash_digests.h"
#include "portpaddle/crashes/crash_ledger.h"
#include "portpaddle/crashes/crash_watch.h"
#include "portpaddle/crashes/part_guard.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/store_following/fleet_view.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

class Metrics;

/// Detects crashes of upstreams and quarantines the requests, and the parts of prompts, that cause them. Belongs to one event
/// loop and lives as long as it.
class CrashGuard
{
public:
    /// Writes a quarantined request to the platform; must not block.
    using WriteRecord = std::function<void(const RequestFingerprint &)>;

    CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics, std::string ownId);

    /// Sets the function that writes quarantined requests; without one they are announced to other daemons only.
    void setWriteRecord(WriteRecord write);
    /// Records that an upstream completed @p request of @p caller, with these @p parts in its prompt.
    void recordCompleted(const CallerRequest &request, std::string_view caller, const std::vector<RequestFingerprint> &parts,
                         SteadyTime now);
    /// A run whose connection broke before it had proved that its request can be run.
    struct BrokenRun
    {
        const CallerRequest &request;
        std::string_view caller;
        const RequestFingerprint &fingerprint;
        /// The parts of its prompt that others may share.
        const std::vector<RequestFingerprint> &parts;
    };
    void recordBrokenRun(const UpstreamRecord &upstream, const BrokenRun &run, SteadyTime now);
    /// Records that @p upstream refused a connection. With broken runs there it counts as ended once another upstream has
    /// accepted a connection: where none does, the path of this daemon is to blame.
    void connectionRefused(const std::string &upstream, SteadyTime now);
    /// Returns whether @p upstream is known to have ended.
    bool hasEnded(const std::string &upstream) const;
    /// Returns whether runs broke at @p upstream and it is not known yet whether it has ended.
    bool isInDoubt(const std::string &upstream) const;
    /// Returns whether any request is quarantined.
    bool hasQuarantined() const;
    /// Returns whether @p request, or a part of prompts, is quarantined and must not be sent to upstreams.
    bool isQuarantined(const RequestFingerprint &request, SteadyTime now);
    /// Treats upstreams that are not in @p view as ended, and quarantines the requests that the platform has.
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    /// Applies the crashes and quarantined requests that another daemon reported.
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the digests to send to other daemons. Call once in each digest interval; @p header holds the sender.
    std::vector<OutgoingDigest> dueDigests(const Wire::LoadDigestT &header);
    /// Drops expired entries and writes due records. Call a few times a second.
    void tick(SteadyTime now);

private:
    Task<void> probeUpstream(std::string upstream, std::string address);
    /// Connects to other upstreams and treats @p upstream as ended if one of them accepts, or if there are none.
    Task<void> confirmEnd(std::string upstream);
    /// Returns the upstreams that tell whether the paths of this daemon work: of the same service first, then of others.
    std::vector<UpstreamRecord> neighboursOf(const std::string &upstream) const;
    /// Connects to @p address, keeps the connection for requests, and returns the error if there is one.
    Task<NetError> connectTo(std::string upstream, std::string address);
    void upstreamEnded(const std::string &upstream, SteadyTime now);
    void recordSuspects(const std::string &upstream, SteadyTime now);
    /// Counts a crash of @p upstream under @p request.
    void count(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now);
    /// Quarantines a "request", or a "part" of prompts, under which @p ended upstreams ended.
    void quarantine(const RequestFingerprint &fingerprint, std::string_view kind, unsigned ended, SteadyTime now);
    void writeDue(SteadyTime now);

    Executor executor_;
    ConnectionPool &pool_;
    Metrics &metrics_;
    std::string ownId_;
    WriteRecord write_;
    std::shared_ptr<const FleetView> view_;
    CompletedRequests completedRequests_;
    CrashWatch watch_;
    /// Upstreams of which it is being found out whether they have ended.
    std::set<std::string> confirming_;
    CrashLedger ledger_;
    Quarantine quarantine_;
    CrashDigests digests_;
    PartGuard parts_;
};

} // namespace Portpaddle
