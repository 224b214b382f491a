// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The newest figures received by gossip: loads of upstreams, summaries of data centres, demand of organisations.
#pragma once

#include "portpaddle/limits/limiter.h"
#include "portpaddle/membership/gossip_message.h"
#include "portpaddle/routing/blackboard.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Keeps the newest figure of each subject, by sequence number. Time is passed in.
class FleetFigures
{
public:
    FleetFigures(std::string daemon, std::string dataCentre);

    /// Stores a received figure; returns false if the stored one is at least as new.
    bool storeIfNewer(const UpstreamDigest &digest);
    bool storeIfNewer(const DataCentreSummary &summary);
    bool storeIfNewer(const DemandReport &report, Millis now);

    /// Creates and stores the next summary of the local data centre.
    DataCentreSummary nextSummary(const std::vector<SummaryEntry> &entries, Millis now);
    /// Returns the demand at this daemon, for gossip within its data centre.
    DemandReport ownDemand(const OwnDemand &own, std::uint64_t sequence) const;
    /// Creates and stores the next total demand at the local data centre.
    DemandReport nextDemandTotal(const OwnDemand &own, Millis now);

    const std::map<std::string, DataCentreSummary> &summaries() const;
    /// Returns when the summary of a data centre was observed; zero if none is known.
    Millis summaryAt(const std::string &dataCentre) const;
    /// Returns the demand at other daemons and data centres; the last total of an unreachable data centre stays included.
    std::vector<OthersDemand> othersDemand(const std::function<bool(const std::string &dataCentre)> &isReachable,
                                           Millis now) const;

private:
    struct ReceivedDemand
    {
        DemandReport report;
        Millis receivedAt{ 0 };
    };
    struct SeenDigest
    {
        std::uint64_t sequence = 0;
        Millis observedAt{ 0 };
    };

    const std::string daemon_;
    const std::string dataCentre_;
    std::unordered_map<std::uint32_t, SeenDigest> digests_;
    std::map<std::string, DataCentreSummary> summaries_;
    std::map<std::string, ReceivedDemand> demands_;
};

} // namespace Portpaddle
