// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/urgency_fractions.h"

#include <algorithm>
#include <numeric>

namespace Portpaddle {

namespace {

// A request is cheap below this fraction of the mean cost. All cheap requests together then cost less than this fraction of the
// demand, however many they are. It has to cover calls without a prompt beside short prompts, in every region.
constexpr double cheapFraction = 0.15;
// Less urgent classes leave the bucket this many seconds of the more urgent demand, which covers its random variation while the
// reports of it are under way (up to 400 ms).
constexpr double reserveSeconds = 1;
// Maximum of that reserve as a fraction of the burst, so that a full bucket is never reserved as a whole.
constexpr double maxReservePart = 0.75;
// Fraction of a region's share that cheap requests may use before the other classes, also while others pay back what was spent
// beyond the limit; more of them compete by their urgency. The region with the least urgent demand has the smallest share, and
// its cheap requests need the largest part of it.
constexpr double maxCheapPart = 0.35;

std::size_t indexOf(LimitClass limitClass)
{
    return static_cast<std::size_t>(limitClass);
}

} // namespace

LimitClass limitClassOf(Urgency urgency, double units, double cheapBelow)
{
    if (units < cheapBelow) {
        return LimitClass::Cheap;
    }
    switch (urgency) {
    case Urgency::Urgent:
        return LimitClass::Urgent;
    case Urgency::Usual:
        return LimitClass::Usual;
    case Urgency::Patient:
    case Urgency::Late:
        break;
    }
    return LimitClass::Patient;
}

double cheapBelow(double meanUnits)
{
    return cheapFraction * meanUnits;
}

ByLimitClass admittedFractions(const ByLimitClass &asked, const SpendingLimit &limit)
{
    const bool excessIsHarmless = std::accumulate(asked.begin(), asked.end(), -limit.perSecond) <= limit.harmlessExcess;
    ByLimitClass fractions{};
    double moreUrgent = 0;
    double spent = 0;
    for (std::size_t index = 0; index < limitClassCount; ++index) {
        const bool cheap = index == indexOf(LimitClass::Cheap);
        const double spendable = limit.spendable - std::min(maxReservePart * limit.burst, reserveSeconds * moreUrgent);
        const bool urgent = index == indexOf(LimitClass::Urgent);
        const double settle = urgent && spendable < 0 ? limit.urgentPaybackSeconds : limit.settleSeconds;
        const double budget = std::max(0.0, limit.perSecond + spendable / settle - spent);
        const double available = cheap ? maxCheapPart * limit.perSecond : budget;
        const bool fits = available > 0 && asked.at(index) <= available;
        const bool all = fits || (excessIsHarmless && moreUrgent <= 0 && spendable >= 0);
        // Without demand nothing is known of requests that may arrive: none is admitted where nothing is available.
        fractions.at(index) = all ? 1 : asked.at(index) > 0 ? available / asked.at(index) : 0;
        spent += fractions.at(index) * asked.at(index);
        moreUrgent += cheap ? 0 : asked.at(index);
    }
    return fractions;
}

ByLimitClass lastingFractions(const ByLimitClass &asked, const SpendingLimit &limit)
{
    ByLimitClass lasting = admittedFractions(asked, { .perSecond = limit.perSecond, .harmlessExcess = 0 });
    const ByLimitClass current = admittedFractions(asked, limit);
    std::transform(lasting.begin(), lasting.end(), current.begin(), lasting.begin(),
                   [](double left, double right) { return std::min(left, right); });
    return lasting;
}

double totalFraction(const ByLimitClass &asked, const ByLimitClass &fractions)
{
    const double all = std::accumulate(asked.begin(), asked.end(), 0.0);
    return all > 0 ? std::inner_product(asked.begin(), asked.end(), fractions.begin(), 0.0) / all : 1;
}

double fractionFor(const ByLimitClass &fractions, Urgency urgency, double units, double cheapBelow)
{
    const double byUrgency = fractions.at(indexOf(limitClassOf(urgency, units, 0)));
    const bool cheap = limitClassOf(urgency, units, cheapBelow) == LimitClass::Cheap;
    return cheap ? std::max(byUrgency, fractions.at(indexOf(LimitClass::Cheap))) : byUrgency;
}

} // namespace Portpaddle
