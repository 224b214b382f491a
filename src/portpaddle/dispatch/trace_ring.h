// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Traces of the decisions for recent requests.
#pragma once

#include "portpaddle/routing/decision.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

/// One decision and its outcome.
struct TraceStep
{
    std::int64_t wallMs = 0;
    Decision decision;
    /// How the attempt ended, for example "complete" or "broken: connection reset".
    std::string outcome;
};

/// All decisions for one request on one daemon. The trace never includes the content of the request.
struct RequestTrace
{
    std::string requestId;
    std::string organisation;
    std::string service;
    unsigned promptTokens = 0;
    std::vector<std::string> visited;
    std::vector<TraceStep> steps;
    std::string outcome;
};

/// Keeps the traces of the most recent requests and drops the oldest ones beyond its capacity. Thread-safe.
class TraceRing
{
public:
    explicit TraceRing(std::size_t capacity = 2048);
    void add(RequestTrace trace);
    std::shared_ptr<const RequestTrace> find(const std::string &requestId) const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<std::string> order_;
    std::unordered_map<std::string, std::shared_ptr<const RequestTrace>> traces_;
};

/// Returns the trace in the form that operators read: every candidate, why it was not chosen, and the setting that caused it.
nlohmann::json explain(const RequestTrace &trace);

} // namespace Portpaddle
