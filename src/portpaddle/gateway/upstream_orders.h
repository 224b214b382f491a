// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a daemon may order an engine to do with a request in progress; an adapter gives the words for it.
#pragma once

#include "portpaddle/gateway/caller_request.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// Composes orders and reads their answers.
class UpstreamOrders
{
public:
    virtual ~UpstreamOrders() = default;
    /// Stops the run of @p requestId and copies its memory to the engine at @p targetAddress.
    virtual HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const = 0;
    /// What names the copy, from the answer to stopAndMove; no value if there is no copy.
    virtual std::optional<std::string> copyName(unsigned status, const std::string &body) const = 0;
};

} // namespace Portpaddle
