// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a daemon may order an engine to do with a request in progress; an adapter gives the words for it.
#pragma once

#include "portpaddle/gateway/caller_request.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// A run that an engine stopped, and the memory that it can go on from.
struct StoppedRun
{
    /// Names the memory.
    std::string handle;
    /// It was not copied: only the engine that stopped the run can go on.
    bool atSource = false;
};

/// Composes orders and reads their answers.
class UpstreamOrders
{
public:
    virtual ~UpstreamOrders() = default;
    /// Stops the run of @p requestId and copies its memory to the engine at @p targetAddress.
    virtual HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const = 0;
    /// What the answer to stopAndMove says; no value if the run cannot go on.
    virtual std::optional<StoppedRun> stoppedRun(unsigned status, const std::string &body) const = 0;
};

} // namespace Portpaddle
