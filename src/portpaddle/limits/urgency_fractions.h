// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides which classes of an organisation's requests are admitted within its limit: pure functions of demand, limit and chance.
#pragma once

#include "portpaddle/placement/placement.h"

#include <array>
#include <cstddef>

namespace Portpaddle {

/// The classes of an organisation's requests, in the order in which its limit admits them.
enum class LimitClass { Cheap, Urgent, Usual, Patient };
inline constexpr std::size_t limitClassCount = 4;
/// One value for each class.
using ByLimitClass = std::array<double, limitClassCount>;

/// Returns the class of a request that costs @p units; requests below @p cheapBelow units are cheap whatever their urgency.
LimitClass limitClassOf(Urgency urgency, double units, double cheapBelow);

/// Returns the cost in units below which a request counts as cheap where the mean cost is @p meanUnits.
double cheapBelow(double meanUnits);

/// What a region may spend, in units and units a second.
struct SpendingLimit
{
    double perSecond = 0;
    /// Units that may be spent in addition; negative if more was spent than allowed.
    double spendable = 0;
    /// Units that may be saved at most.
    double burst = 0;
    /// Time over which spendable units are spent or paid back.
    double settleSeconds = 1;
    /// Time over which urgent requests pay back.
    double urgentPaybackSeconds = 1;
    /// Demand beyond perSecond, in units a second, that is admitted in full while there are spendable units.
    double harmlessExcess = 0;
};

/// Returns the fraction, from 0 to 1, of the demand of each class, in units a second, that is admitted: all of the more urgent
/// classes before any of the others.
ByLimitClass admittedFractions(const ByLimitClass &asked, const SpendingLimit &limit);

/// Returns what remains of admittedFractions() where the demand stays as it is and nothing can be spent beyond the rate.
ByLimitClass lastingFractions(const ByLimitClass &asked, const SpendingLimit &limit);

/// Returns the fraction of the whole demand that @p fractions admit; 1 if there is no demand.
double totalFraction(const ByLimitClass &asked, const ByLimitClass &fractions);

/// Returns the fraction that applies to a request; a cheap one is admitted at least as often as others of its urgency.
double fractionFor(const ByLimitClass &fractions, Urgency urgency, double units, double cheapBelow);

} // namespace Portpaddle
