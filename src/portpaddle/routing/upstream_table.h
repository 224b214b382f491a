// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What this daemon knows of the upstreams of its data centre: load, failures and its own requests to them.
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

/// Counts the requests sent to one target that its last report cannot know of yet.
class DispatchCounter
{
public:
    void started(Millis at);
    void ended(Millis startedAt);
    /// A report that was true at @p observedAt arrived: what was sent before is in it.
    void reported(Millis observedAt);
    std::uint32_t count() const;

private:
    std::mutex mutex_;
    std::deque<Millis> times_;
    std::atomic<std::uint32_t> count_{ 0 };
};

/// A report on one upstream.
struct UpstreamReport
{
    std::string upstream;
    std::uint64_t sequence = 0;
    Millis observedAt{ 0 };
    UpstreamLoad load;
    bool leaving = false;
    bool reachable = true;
};

/// What the book holds of one upstream.
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

/// Thread-safe; the request path touches it only at the start and the end of an attempt.
class UpstreamTable
{
public:
    /// False when the report is older than what is held.
    bool takeReport(const UpstreamReport &report);
    void markLeavingByVmList(const std::vector<std::string> &upstreams);
    void attemptSucceeded(const std::string &upstream);
    void attemptFailed(const std::string &upstream, Millis now);
    std::shared_ptr<DispatchCounter> dispatches(const std::string &upstream);
    /// Fills the state of each view in @p views at @p now.
    void describe(std::vector<UpstreamView> &views, Millis now) const;
    std::vector<UpstreamReport> reports() const;
    /// Forgets upstreams that are not in @p known.
    void keepOnly(const std::vector<std::string> &known);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, UpstreamState> states_;
};

} // namespace Portpaddle
