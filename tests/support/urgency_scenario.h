// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time an organisation that exceeds its limit with requests of several urgencies.
#pragma once

#include "support/limit_scenario.h"

#include <cstdint>

namespace Portpaddle {

/// Parameters of a simulation: up to three regions with uneven and changing demand, a limit of @p perSecond tokens that is
/// exceeded for ten seconds. One request in five costs 200 units, the urgent ones cost 12,000 and the rest 2,400.
struct UrgencyPlay
{
    unsigned daemons = 29;
    double perSecond = 300'000;
    /// Demand of the ten seconds as a multiple of the limit.
    double factor = 3;
    /// Fraction of the requests that are urgent.
    double urgentPart = 0.1;
    /// Whether refused callers return once, after the Retry-After or a third of their time left.
    bool callersReturn = false;
    /// Fraction of the usual requests that come as patient ones.
    double patientPart = 0;
    /// Whether daemons with odd numbers are of the version before limits by urgency.
    bool hasOldDaemons = false;
    std::uint64_t seed = 1;
};

/// What was admitted in the ten seconds in which the demand exceeds the limit.
struct UrgencyOutcome
{
    /// Urgent demand as a fraction of the limit.
    double urgentDemand = 0;
    /// Admitted fraction of the units of a class.
    double urgentAdmitted = 0;
    double usualAdmitted = 0;
    double patientAdmitted = 0;
    double cheapAdmitted = 0;
    /// Admitted units as a fraction of the limit.
    double used = 0;
    /// The most units admitted in any window of 8 s, as a fraction of what is tolerated; see LimitOutcome.
    double worstWindow = 0;
    /// Requests that were told a time before their deadline on their first try, and those of them admitted on the second.
    unsigned toldTime = 0;
    unsigned admittedOnReturn = 0;
    /// Requests refused on their first try.
    unsigned refused = 0;
    /// Most callers that returned as told within 100 ms, as a fraction of all that did.
    double largestReturn = 0;
};

UrgencyOutcome play(const UrgencyPlay &scenario);

/// Returns the fraction of urgent requests with which the urgent demand is @p part of the limit at @p factor times the limit.
double urgentPartFor(double part, double factor);

} // namespace Portpaddle
