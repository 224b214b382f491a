// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders that a daemon may give to an engine about a request in progress; an adapter defines their format.
#pragma once

#include "portpaddle/callers/caller_request.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// The memory from which a run can continue.
struct RunMemory
{
    /// Handle of the memory at the engine that had the run.
    std::string handle;
    /// The memory was not copied: only the engine that stopped the run can continue it.
    bool atSource = false;
};

/// Composes orders and parses their answers.
class UpstreamOrders
{
public:
    virtual ~UpstreamOrders() = default;
    /// Returns the order to copy the memory of the run of @p requestId to the engine at @p targetAddress while the run goes on.
    virtual HttpRequest copy(const std::string &requestId, const std::string &targetAddress) const = 0;
    /// Returns the order to free a copy that is not needed.
    virtual HttpRequest freeCopy(const std::string &handle) const = 0;
    /// Returns the order to stop the run of @p requestId and to copy its memory to the engine at @p targetAddress.
    /// What an earlier copy() to the same engine copied is not copied again.
    virtual HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const = 0;
    /// Parses the answer to copy() or stopAndMove(); returns no value if it names no memory.
    virtual std::optional<RunMemory> memoryIn(unsigned status, const std::string &body) const = 0;
    /// Whether an answer with @p status to copy() or stopAndMove() says that the engine has no such run.
    virtual bool deniesRun(unsigned status) const = 0;
};

} // namespace Portpaddle
