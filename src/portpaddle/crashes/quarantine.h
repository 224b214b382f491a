// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The requests that are no longer sent to upstreams, because upstreams crashed under them.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace Portpaddle {

/// How long a request stays quarantined on the platform after it was last received.
inline constexpr std::chrono::minutes quarantineTime{ 10 };
/// Maximum number of quarantined requests; the one that was received longest ago is dropped for a new one.
inline constexpr std::size_t maxQuarantined = 512;

/// The requests quarantined on the platform, each with the time at which this daemon saw its record written last.
using QuarantinedRequests = std::map<RequestFingerprint, SteadyTime>;

/// Keeps the quarantined requests and which of them have to be written to the platform. Belongs to one event loop.
class Quarantine
{
public:
    /// Quarantines @p request; returns false if it is quarantined already.
    bool insert(const RequestFingerprint &request, SteadyTime now);
    /// Adds the requests that the platform has, and drops those that it had before and no longer has.
    void setStored(const QuarantinedRequests &stored, SteadyTime now);
    bool empty() const;
    /// Returns whether @p request is quarantined, and records that it was received.
    bool isQuarantined(const RequestFingerprint &request, SteadyTime now);
    /// A request that has to be written to the platform, and since when.
    struct Unwritten
    {
        RequestFingerprint request;
        SteadyTime since;
    };
    /// Returns the requests that the platform does not have, or whose record expires soon although they are still received.
    std::vector<Unwritten> unwritten(SteadyTime now) const;
    /// Records that the platform was asked to store @p request.
    void recordWriteRequest(const RequestFingerprint &request, SteadyTime now);
    /// Drops expired requests that the platform never stored. Call a few times a second.
    void expire(SteadyTime now);

private:
    struct Entry
    {
        SteadyTime since;
        SteadyTime receivedAt;
        /// Time at which the request was written to the platform; no value before.
        std::optional<SteadyTime> storedAt;
        std::optional<SteadyTime> writeRequestedAt;
    };

    void evictOldest();

    std::map<RequestFingerprint, Entry> requests_;
};

} // namespace Portpaddle
