// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The share of an organisation's limit that the daemons of one region spend together.
#pragma once

#include "portpaddle/limits/organisations.h"
#include "portpaddle/limits/rate_window.h"
#include "portpaddle/limits/urgency_fractions.h"

#include <functional>
#include <map>
#include <string>

namespace Portpaddle {

/// What one daemon was asked for and admitted since its start. All counters wrap around.
struct DemandCounters
{
    std::uint32_t askedUnits = 0;
    std::uint32_t admittedUnits = 0;
    std::uint32_t askedRequests = 0;
    /// Those of askedUnits that are of other classes than usual.
    std::uint32_t cheapUnits = 0;
    std::uint32_t urgentUnits = 0;
    std::uint32_t patientUnits = 0;

    /// Counts the units of a request that was asked for.
    void addAsked(std::uint32_t units, LimitClass limitClass);
};

/// What each daemon of a region may admit.
struct AdmissionGrant
{
    /// Fraction of the demand; 1 and more admits all.
    double fraction = 1;
    /// Units a second of the limit for each unit a second of demand in the region.
    double ratePerAsked = 0;
    /// Fraction of the demand of each class, from 0 to 1.
    ByLimitClass fractions{ 1, 1, 1, 1 };
    /// What remains of these fractions where the demand stays as it is: without what has been saved in the bucket.
    ByLimitClass lasting{ 1, 1, 1, 1 };
    /// Requests that cost fewer units are cheap.
    double cheapBelow = 0;
};

/// By how much a limit may be exceeded in a window.
struct LimitTolerance
{
    /// Fraction of what the limit admits in the window.
    double part = 0;
    /// Units in addition to the fraction.
    double units = 0;
    std::chrono::seconds window{ 8 };
};

/// A token bucket that learns of admitted units with the delay of digests, and grants the fraction of the demand that brings it
/// back to its level. Belongs to one event loop.
class RegionLimit
{
public:
    /// Returns whether a daemon can no longer be reached, as opposed to one that has no requests to report.
    using IsSilent = std::function<bool(const std::string &daemon, SteadyTime now)>;

    /// Sets the limit and the @p share of it, from 0 to 1, that belongs to this region.
    void setOptions(const OrganisationLimit &limit, double share, const LimitTolerance &tolerance, SteadyTime now);
    /// Adds what @p daemon was asked for and admitted since its last report.
    void recordCounters(const std::string &daemon, const DemandCounters &counters, SteadyTime now);
    /// Returns the demand in the region in units a second, over all daemons that report.
    double askedRate(SteadyTime now) const;
    /// Returns the same demand by class.
    ByLimitClass askedByClass(SteadyTime now) const;
    /// Returns what each daemon of the region may admit from now on.
    AdmissionGrant grant(const IsSilent &isSilent, SteadyTime now);

private:
    struct Source
    {
        DemandCounters last;
        SteadyTime reportedAt{};
        /// Exponentially decaying demand at this daemon in units a second.
        double asked = 0;
    };

    void refill(SteadyTime now);
    void recordClasses(const DemandCounters &now, const DemandCounters &before, double asked, SteadyTime at);
    void recordCost(double units, double requests, SteadyTime now);
    /// Returns the fraction of the demand that daemons which can no longer be reached may be spending.
    double missingFraction(const IsSilent &isSilent, SteadyTime now);
    /// Returns the units a second that the daemons which can be reached may spend.
    double rate() const;

    double perSecond_ = 0;
    double burst_ = 0;
    double share_ = 1;
    /// Units that may be spent beyond the level before the reports of them arrive.
    double tolerated_ = 0;
    /// Units that may be spent at once; negative if more was spent.
    double level_ = 0;
    /// Fraction of the demand at missing daemons, as of the last grant.
    double missing_ = 0;
    SteadyTime startedAt_{};
    SteadyTime refilledAt_{};
    RateWindow asked_;
    std::array<RateWindow, limitClassCount> askedByClass_;
    /// Units and number of requests, decaying exponentially.
    double costUnits_ = 0;
    double costRequests_ = 0;
    SteadyTime costAt_{};
    std::map<std::string, Source> sources_;
};

} // namespace Portpaddle
