// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders that a daemon may give to an engine about a request in progress; an adapter defines their format.
#pragma once

#include "portpaddle/gateway/caller_request.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// A run that an engine stopped, with the memory from which the run can continue.
struct StoppedRun
{
    /// Handle of the memory at the engine.
    std::string handle;
    /// The memory was not copied: only the engine that stopped the run can continue it.
    bool atSource = false;
};

/// Composes orders and parses their answers.
class UpstreamOrders
{
public:
    virtual ~UpstreamOrders() = default;
    /// Returns the order to stop the run of @p requestId and to copy its memory to the engine at @p targetAddress.
    virtual HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const = 0;
    /// Parses the answer to stopAndMove(); returns no value if the run cannot continue.
    virtual std::optional<StoppedRun> stoppedRun(unsigned status, const std::string &body) const = 0;
};

} // namespace Portpaddle
