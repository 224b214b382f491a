// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The requests that are not sent to upstreams any more, because upstreams ended under them.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace Portpaddle {

/// How long a request is held on the platform after it came last.
inline constexpr std::chrono::minutes quarantineTime{ 10 };
/// Requests held at most; the one that came longest ago gives way.
inline constexpr std::size_t maxQuarantined = 512;

/// Requests held on the platform, each with the time at which that was last written, as far as this daemon saw it.
using QuarantinedRequests = std::map<RequestFingerprint, SteadyTime>;

/// Belongs to one event loop.
class Quarantine
{
public:
    /// Holds @p request from now on; false if it is held already.
    bool hold(const RequestFingerprint &request, SteadyTime now);
    /// What the platform has; what it had before and has not any more is let go.
    void setStored(const QuarantinedRequests &stored, SteadyTime now);
    bool empty() const;
    /// Whether @p request is held; notes that it came.
    bool isQuarantined(const RequestFingerprint &request, SteadyTime now);
    /// A request that is to be written to the platform, and since when.
    struct Unwritten
    {
        RequestFingerprint request;
        SteadyTime since;
    };
    /// Those that the platform does not have, or will not have for much longer although they still come.
    std::vector<Unwritten> unwritten(SteadyTime now) const;
    /// The platform was asked to keep @p request.
    void askedToWrite(const RequestFingerprint &request, SteadyTime now);
    /// Lets go what the platform never took; call a few times a second.
    void expire(SteadyTime now);

private:
    struct Held
    {
        SteadyTime since;
        SteadyTime cameAt;
        /// When it was written to the platform; none before.
        std::optional<SteadyTime> storedAt;
        std::optional<SteadyTime> askedAt;
    };

    void makeRoom();

    std::map<RequestFingerprint, Held> held_;
};

} // namespace Portpaddle
