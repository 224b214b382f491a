// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts the upstreams that ended under each request.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <map>
#include <vector>

namespace Portpaddle {

/// Belongs to one event loop. Bounded: the requests noted longest ago are forgotten first, and all within twenty minutes.
class CrashLedger
{
public:
    /// @p upstream is a hash of the life that ended. Returns how many different ones are known.
    unsigned add(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now);
    unsigned count(const RequestFingerprint &request) const;
    std::size_t size() const;

private:
    using Lives = std::vector<std::uint64_t>;
    using Generation = std::map<RequestFingerprint, Lives>;

    Generation young_;
    /// Those not noted since the last change of generations; dropped at the next one.
    Generation old_;
    SteadyTime youngSince_{};
};

} // namespace Portpaddle
