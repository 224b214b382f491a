// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The decisions of recent requests, kept to be explained.
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

/// One decision and what came of it.
struct TraceStep
{
    std::int64_t wallMs = 0;
    Decision decision;
    /// How the attempt ended, for example "complete" or "broken: connection reset".
    std::string outcome;
};

/// Everything decided for one request on one daemon. Never its content.
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

/// Keeps the traces of the last requests; the oldest is dropped for the newest.
class TraceRing
{
public:
    explicit TraceRing(std::size_t capacity = 2048);
    void keep(RequestTrace trace);
    std::shared_ptr<const RequestTrace> find(const std::string &requestId) const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<std::string> order_;
    std::unordered_map<std::string, std::shared_ptr<const RequestTrace>> traces_;
};

/// The trace as operators read it: each candidate, why it lost, and the setting that made it so.
nlohmann::json explain(const RequestTrace &trace);

} // namespace Portpaddle
