// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The requests that upstreams have completed within the last moments.
#pragma once

#include "portpaddle/callers/caller_request.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Portpaddle {

/// Keeps a bounded number of completed requests; a later request may replace an earlier one. Belongs to one event loop.
class CompletedRequests
{
public:
    CompletedRequests();

    /// Records that an upstream completed @p request of @p caller.
    void add(const CallerRequest &request, std::string_view caller, SteadyTime now);
    /// Returns whether an upstream completed the request within the last two seconds.
    bool contains(const CallerRequest &request, std::string_view caller, SteadyTime now) const;

private:
    static constexpr std::size_t slotCount = 1'024;
    struct Slot
    {
        std::uint64_t key = 0;
        SteadyTime at{};
    };

    std::unique_ptr<std::array<Slot, slotCount>> slots_;
};

} // namespace Portpaddle
