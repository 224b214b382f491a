// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// State of the upstreams in this daemon's data centre: load, failures and the requests that this daemon sent to them.
#pragma once

#include "portpaddle/routing/routing_snapshot.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Counts the running requests to one target that were sent after its last report. Thread-safe.
class DispatchCounter
{
public:
    void started(Millis at);
    void ended(Millis startedAt);
    /// Removes the requests sent before @p observedAt, because a report observed at that time includes them.
    void reported(Millis observedAt);
    std::uint32_t count() const;

private:
    std::mutex mutex_;
    std::deque<Millis> times_;
    std::atomic<std::uint32_t> count_{ 0 };
};

/// A load report of one upstream.
struct UpstreamReport
{
    std::string upstream;
    std::uint64_t sequence = 0;
    Millis observedAt{ 0 };
    UpstreamLoad load;
    bool leaving = false;
    bool reachable = true;
};

/// The entry of one upstream in the table.
struct UpstreamState
{
    std::uint64_t sequence = 0;
    Millis observedAt{ 0 };
    UpstreamLoad load;
    bool leavingByReport = false;
    bool leavingByVmList = false;
    bool reachable = true;
    unsigned consecutiveFailures = 0;
    unsigned ejections = 0;
    Millis ejectedUntil{ 0 };
    Millis readmittedAt{ 0 };
    std::shared_ptr<DispatchCounter> dispatches = std::make_shared<DispatchCounter>();
};

/// Tracks the state of upstreams. Thread-safe; the request path uses the table only at the start and the end of an attempt.
class UpstreamTable
{
public:
    /// Stores @p report. Returns false if the table already holds a newer one.
    bool takeReport(const UpstreamReport &report);
    void markLeavingByVmList(const std::vector<std::string> &upstreams);
    void recordSuccess(const std::string &upstream);
    void recordFailure(const std::string &upstream, Millis now);
    std::shared_ptr<DispatchCounter> dispatches(const std::string &upstream);
    /// Fills in the state that each view in @p views has at @p now.
    void describe(std::vector<UpstreamView> &views, Millis now) const;
    std::vector<UpstreamReport> reports() const;
    /// Removes the upstreams that are not in @p known.
    void keepOnly(const std::vector<std::string> &known);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, UpstreamState> states_;
};

} // namespace Portpaddle
