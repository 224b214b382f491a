// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The newest figures heard by gossip: loads of upstreams, summaries of data centres, demand of organisations.
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

/// Keeps the newest figure of each subject by its sequence. Time is passed in.
class FleetFigures
{
public:
    FleetFigures(std::string daemon, std::string dataCentre);

    /// Each of these is false when what is held is as new.
    bool take(const UpstreamDigest &digest);
    bool take(const DataCentreSummary &summary);
    bool take(const DemandReport &report, Millis now);

    /// Makes the next summary of the own data centre and keeps it.
    DataCentreSummary nextSummary(const std::vector<SummaryEntry> &entries, Millis now);
    /// What this daemon is asked, to be told within its data centre.
    DemandReport ownDemand(const OwnDemand &own, std::uint64_t sequence) const;
    /// What the own data centre is asked in all; keeps it.
    DemandReport nextTotal(const OwnDemand &own, Millis now);

    const std::map<std::string, DataCentreSummary> &summaries() const;
    /// When the summary of a data centre was true; zero when none is known.
    Millis summaryAt(const std::string &dataCentre) const;
    /// Demand at others; that of a data centre that cannot be heard goes on to count.
    std::vector<OthersDemand> othersDemand(const std::function<bool(const std::string &dataCentre)> &isHeard, Millis now) const;

private:
    struct HeardDemand
    {
        DemandReport report;
        Millis heardAt{ 0 };
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
    std::map<std::string, HeardDemand> demands_;
};

} // namespace Portpaddle
