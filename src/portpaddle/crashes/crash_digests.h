// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What daemons tell each other of requests that upstreams ended under.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/fleet/load_aggregation.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

Wire::RequestDigest toWire(const RequestFingerprint &request);
RequestFingerprint fromWire(const Wire::RequestDigest &request);

/// Where @p daemon stands among those that count for @p request: the first ones by rendezvous hashing. At most @p most.
std::size_t countingRank(const FleetView &view, std::string_view daemon, const RequestFingerprint &request, std::size_t most);

/// Tells each thing several times, as datagrams are lost. Belongs to one event loop.
class CrashDigests
{
public:
    explicit CrashDigests(std::string ownId);

    /// For the daemons that count for @p request.
    void endedUnder(const RequestFingerprint &request, std::uint64_t upstream);
    /// For all daemons.
    void quarantined(const RequestFingerprint &request);
    /// What to send now; call once in each interval.
    std::vector<OutgoingDigest> due(const FleetView &view, const Wire::LoadDigestT &header);

private:
    template<typename Item>
    struct Told
    {
        Item item;
        unsigned timesLeft;
    };

    /// The link addresses of the daemons that count for @p request, without this one.
    std::vector<std::string> counting(const FleetView &view, const RequestFingerprint &request) const;
    void addEnded(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);
    void addQuarantined(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out);

    std::string ownId_;
    std::deque<Told<Wire::EndedUnder>> ended_;
    std::deque<Told<Wire::RequestDigest>> quarantined_;
};

} // namespace Portpaddle
