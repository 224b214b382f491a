// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The part of an organisation's limit that the daemons of one region spend together.
#pragma once

#include "portpaddle/limits/organisations.h"
#include "portpaddle/limits/rate_window.h"

#include <functional>
#include <map>
#include <string>

namespace Portpaddle {

/// What was asked of one daemon since its start, and admitted; all wrap.
struct DemandCounters
{
    std::uint32_t askedUnits = 0;
    std::uint32_t admittedUnits = 0;
    std::uint32_t askedRequests = 0;
};

/// What each daemon of a region may admit.
struct AdmissionGrant
{
    /// Of what is asked; one and more admits all.
    double fraction = 1;
    /// Units a second of the limit for each unit a second asked in the region.
    double ratePerAsked = 0;
};

/// What may go over a limit, in units.
struct LimitTolerance
{
    /// Of what the limit admits in the window.
    double part = 0;
    double units = 0;
    std::chrono::seconds window{ 8 };
};

/// A bucket that counts what was admitted with the delay of the news, and lets through of what is asked the part that brings it
/// back to its level. Belongs to one event loop.
class RegionLimit
{
public:
    /// Whether a daemon is not heard any more, whatever is asked of it.
    using IsSilent = std::function<bool(const std::string &daemon, SteadyTime now)>;

    /// @p share of the limit belongs to this region.
    void setOptions(const OrganisationLimit &limit, double share, const LimitTolerance &tolerance, SteadyTime now);
    /// What @p daemon tells of itself.
    void take(const std::string &daemon, const DemandCounters &counters, SteadyTime now);
    /// Units a second asked in the region, over all daemons that are heard.
    double askedRate(SteadyTime now) const;
    AdmissionGrant grant(const IsSilent &isSilent, SteadyTime now);

private:
    struct Source
    {
        DemandCounters last;
        SteadyTime heardAt{};
        /// Units a second asked of it, decaying.
        double asked = 0;
    };

    void refill(SteadyTime now);
    /// The part of what is asked that daemons may be spending which are not heard any more.
    double missingPart(const IsSilent &isSilent, SteadyTime now);
    /// Units a second that the daemons which are heard may spend.
    double rate() const;

    double perSecond_ = 0;
    double burst_ = 0;
    double share_ = 1;
    /// What may be spent beyond the level before the news of it come.
    double tolerated_ = 0;
    /// Units that may be spent at once; below zero where more was spent.
    double level_ = 0;
    /// As of the last grant.
    double missing_ = 0;
    SteadyTime refilledAt_{};
    RateWindow asked_;
    std::map<std::string, Source> sources_;
};

} // namespace Portpaddle
