// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Requests that upstreams have just run to a good end.
#pragma once

#include "portpaddle/gateway/caller_request.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Portpaddle {

/// Bounded and lossy: a later request may take the place of an earlier one. Belongs to one event loop.
class CompletedRequests
{
public:
    CompletedRequests();

    /// An upstream ran @p request of @p caller whole.
    void add(const CallerRequest &request, std::string_view caller, SteadyTime now);
    /// Whether that was so a moment ago.
    bool contains(const CallerRequest &request, std::string_view caller, SteadyTime now) const;

private:
    static constexpr std::size_t places = 1'024;
    struct Place
    {
        std::uint64_t key = 0;
        SteadyTime at{};
    };

    std::unique_ptr<std::array<Place, places>> table_;
};

} // namespace Portpaddle
