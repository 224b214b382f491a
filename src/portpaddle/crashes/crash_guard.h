// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Notices upstreams that end while they run requests, and keeps requests that end them from being sent to any more.
#pragma once

#include "portpaddle/crashes/completed_requests.h"
#include "portpaddle/crashes/crash_digests.h"
#include "portpaddle/crashes/crash_ledger.h"
#include "portpaddle/crashes/crash_watch.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/upstream_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

class Metrics;

/// Belongs to one event loop, and lives as long as it.
class CrashGuard
{
public:
    /// Has a held request written to the platform; must not wait.
    using WriteRecord = std::function<void(const RequestFingerprint &)>;

    CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics, std::string ownId);

    /// Without it holds are told to other daemons only.
    void setWriteRecord(WriteRecord write);
    /// An upstream ran @p request of @p caller whole.
    void recordCompleted(const CallerRequest &request, std::string_view caller, SteadyTime now);
    /// The connection of a run broke before the run had shown that it can be run.
    void recordBrokenRun(const UpstreamRecord &upstream, const CallerRequest &request, std::string_view caller,
                         const RequestFingerprint &fingerprint, SteadyTime now);
    /// Nobody listens at the address of @p upstream, or it is listed no more.
    void upstreamEnded(const std::string &upstream, SteadyTime now);
    /// Whether any request is held at all.
    bool hasQuarantined() const;
    /// Whether @p request is not to be sent to upstreams any more.
    bool isQuarantined(const RequestFingerprint &request, SteadyTime now);
    /// Upstreams that are listed no more have ended; requests are held that the platform has.
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    void takeNews(const Wire::LoadDigestT &digest, SteadyTime now);
    /// What to tell other daemons; call once in each interval. @p header has the sender.
    std::vector<OutgoingDigest> dueDigests(const Wire::LoadDigestT &header);
    void tick(SteadyTime now);

private:
    Task<void> askWhetherItLives(std::string upstream, std::string address);
    void noteSuspects(const std::string &upstream, SteadyTime now);
    /// An upstream ended under @p request.
    void count(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now);
    void hold(const RequestFingerprint &request, SteadyTime now);
    void writeDue(SteadyTime now);

    Executor executor_;
    ConnectionPool &pool_;
    Metrics &metrics_;
    std::string ownId_;
    WriteRecord write_;
    std::shared_ptr<const FleetView> view_;
    CompletedRequests completedRequests_;
    CrashWatch watch_;
    CrashLedger ledger_;
    Quarantine quarantine_;
    CrashDigests news_;
};

} // namespace Portpaddle
