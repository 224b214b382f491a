// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts the upstreams that crashed under each request.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <map>
#include <vector>

namespace Portpaddle {

/// Keeps a bounded number of requests: the requests recorded longest ago are dropped first, and every request after at most
/// twenty minutes. Belongs to one event loop.
class CrashLedger
{
public:
    /// Adds a crash under @p request; @p upstream is the hash of the incarnation that ended. Returns how many different ones are
    /// known.
    unsigned add(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now);
    /// Returns how many different incarnations crashed under @p request.
    unsigned count(const RequestFingerprint &request) const;
    std::size_t size() const;

private:
    using Incarnations = std::vector<std::uint64_t>;
    using Generation = std::map<RequestFingerprint, Incarnations>;

    Generation current_;
    /// Requests not recorded since the last change of generations; dropped at the next one.
    Generation previous_;
    SteadyTime currentSince_{};
};

} // namespace Portpaddle
