// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/region_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// Time over which a positive bucket level is spent or a negative one is paid back. It exceeds the delay of digests within a
// region, so that the daemons do not oscillate together.
constexpr double settleSeconds = 0.5;
// Urgent requests pay back what was spent beyond the limit over a longer time than others, whose rejection pays sooner, but over
// a fraction of the windows of 8 s to which limits apply. An aggregator that has been one for less than startTime does not know
// what its predecessors spent, and a series of them must not each defer it.
constexpr double urgentPaybackSeconds = 2;
constexpr std::chrono::milliseconds startTime{ 3'000 };
// Reserves the share of a missing daemon for this time, because a partitioned daemon goes on spending it. The bounds on limits
// apply to windows of this length; later the share of a dead daemon goes to the others.
constexpr std::chrono::milliseconds maxAbsence{ 9'000 };
// Fraction of a limit that is not reserved for missing daemons, since most of them have died. It is half of the overshoot that a
// deployment allows.
constexpr double toleratedMissing = 0.05;
// The counters of a daemon are forgotten when it has not reported for this time.
constexpr std::chrono::milliseconds sourceRetention{ 60'000 };
constexpr double decaySeconds = 1;
// A larger difference of counters means a restart of the daemon.
constexpr std::int32_t maxCounterStep = 1 << 28;
constexpr double minAskedRate = 1e-9;
// The counters of a new daemon are counted from zero if they hold at most this many requests: in a large fleet most daemons get a
// request of a small organisation only once in several seconds. Larger counters began long before.
constexpr std::uint32_t maxInitialRequests = 3;
// Time from a request at one daemon until all daemons of the region admit less because of it.
constexpr double propagationSeconds = 0.4;
// Fraction of a limit's tolerance that may be spent before delayed reports arrive; the rest covers partitioned regions and
// missing daemons.
constexpr double toleratedForDelay = 0.5;
// Fraction of tolerated_ that may be spent on prompts larger than the region's share of the burst of a small limit.
constexpr double toleratedForPrompts = 0.75;
// The mean cost of requests is taken over about this time, and over this many requests at least: sizes differ by a factor of a
// hundred, and which requests are cheap should not change from one moment to the next.
constexpr double costSeconds = 10;
constexpr double minCostRequests = 30;

std::int32_t counterDelta(std::uint32_t now, std::uint32_t before)
{
    return static_cast<std::int32_t>(now - before);
}

/// Returns whether the same process may have counted from @p before to @p now; the admitted units may decrease a little by
/// refunds.
bool continues(const DemandCounters &now, const DemandCounters &before)
{
    const std::int32_t asked = counterDelta(now.askedUnits, before.askedUnits);
    const std::int32_t requests = counterDelta(now.askedRequests, before.askedRequests);
    return asked >= 0 && asked <= maxCounterStep && requests >= 0
        && std::abs(std::int64_t{ counterDelta(now.admittedUnits, before.admittedUnits) }) <= maxCounterStep;
}

} // namespace

void DemandCounters::addAsked(std::uint32_t units, LimitClass limitClass)
{
    askedUnits += units;
    ++askedRequests;
    switch (limitClass) {
    case LimitClass::Cheap:
        cheapUnits += units;
        break;
    case LimitClass::Urgent:
        urgentUnits += units;
        break;
    case LimitClass::Patient:
        patientUnits += units;
        break;
    case LimitClass::Usual:
        break;
    }
}

void RegionLimit::setOptions(const OrganisationLimit &limit, double share, const LimitTolerance &tolerance, SteadyTime now)
{
    const bool fresh = refilledAt_ == SteadyTime{};
    refill(now);
    const double inWindow = limit.perSecond * static_cast<double>(tolerance.window.count()) + limit.burst;
    tolerated_ = share * toleratedForDelay * (tolerance.part * inWindow + tolerance.units);
    perSecond_ = limit.perSecond;
    burst_ = limit.burst;
    share_ = share;
    level_ = std::min(level_, burst_ * share_);
    if (fresh) {
        startedAt_ = now;
        // The previous aggregator may have spent all that is tolerated.
        level_ = -tolerated_;
    }
}

void RegionLimit::recordCounters(const std::string &daemon, const DemandCounters &counters, SteadyTime now)
{
    const auto [position, isNew] = sources_.try_emplace(daemon);
    Source &source = position->second;
    const DemandCounters before = std::exchange(source.last, counters);
    const SteadyTime reportedBefore = std::exchange(source.reportedAt, now);
    const bool restarted = !isNew && !continues(counters, before);
    const bool fromZero = isNew || restarted;
    if (fromZero && (counters.askedRequests > maxInitialRequests || !continues(counters, {}))) {
        return;
    }
    const DemandCounters base = fromZero ? DemandCounters{} : before;
    const auto asked = static_cast<double>(counterDelta(counters.askedUnits, base.askedUnits));
    refill(now);
    level_ -= counterDelta(counters.admittedUnits, base.admittedUnits);
    const std::int32_t requests = counterDelta(counters.askedRequests, base.askedRequests);
    asked_.add(asked, requests, now);
    recordClasses(counters, base, asked, now);
    recordCost(asked, requests, now);
    const double decay = fromZero ? 0 : std::exp(-inSeconds(now - reportedBefore) / decaySeconds);
    source.asked = source.asked * decay + asked / decaySeconds;
}

/// Units that the counters by class do not explain are usual, as are all of a daemon that does not count by class.
void RegionLimit::recordClasses(const DemandCounters &now, const DemandCounters &before, double asked, SteadyTime at)
{
    double left = asked;
    const auto record = [this, at, &left](LimitClass limitClass, double units) {
        const double counted = std::clamp(units, 0.0, left);
        left -= counted;
        // A report holds at least one request of a class that it counts units of; more would only shorten the averages.
        askedByClass_.at(static_cast<std::size_t>(limitClass)).add(counted, counted > 0 ? 1 : 0, at);
    };
    record(LimitClass::Cheap, counterDelta(now.cheapUnits, before.cheapUnits));
    record(LimitClass::Urgent, counterDelta(now.urgentUnits, before.urgentUnits));
    record(LimitClass::Patient, counterDelta(now.patientUnits, before.patientUnits));
}

void RegionLimit::recordCost(double units, double requests, SteadyTime now)
{
    const double decay = std::exp(-inSeconds(now - std::exchange(costAt_, now)) / costSeconds);
    costUnits_ = costUnits_ * decay + units;
    costRequests_ = costRequests_ * decay + requests;
}

double RegionLimit::askedRate(SteadyTime now) const
{
    return asked_.rate(now);
}

ByLimitClass RegionLimit::askedByClass(SteadyTime now) const
{
    ByLimitClass result{};
    double left = askedRate(now);
    for (const LimitClass each : { LimitClass::Cheap, LimitClass::Urgent, LimitClass::Patient }) {
        const auto index = static_cast<std::size_t>(each);
        result.at(index) = std::min(left, askedByClass_.at(index).rate(now));
        left -= result.at(index);
    }
    result.at(static_cast<std::size_t>(LimitClass::Usual)) = left;
    return result;
}

double RegionLimit::missingFraction(const IsSilent &isSilent, SteadyTime now)
{
    std::erase_if(sources_, [now](const auto &entry) { return now - entry.second.reportedAt > sourceRetention; });
    double all = 0;
    double missing = 0;
    for (const auto &[daemon, source] : sources_) {
        const SteadyTime::duration since = now - source.reportedAt;
        const bool silent = isSilent(daemon, now);
        const double asked = silent ? source.asked : source.asked * std::exp(-inSeconds(since) / decaySeconds);
        all += silent && since > maxAbsence ? 0 : asked;
        missing += silent && since <= maxAbsence ? asked : 0;
    }
    return all > 0 ? missing / all : 0;
}

double RegionLimit::rate() const
{
    return perSecond_ * share_ * (1 - std::max(0.0, missing_ - toleratedMissing));
}

void RegionLimit::refill(SteadyTime now)
{
    if (refilledAt_ != SteadyTime{}) {
        level_ = std::min(burst_ * share_, level_ + rate() * std::max(0.0, inSeconds(now - refilledAt_)));
    }
    refilledAt_ = now;
}

AdmissionGrant RegionLimit::grant(const IsSilent &isSilent, SteadyTime now)
{
    refill(now);
    missing_ = missingFraction(isSilent, now);
    const ByLimitClass asked = askedByClass(now);
    const double spendable = level_ + toleratedForPrompts * tolerated_;
    const double payback = now - startedAt_ < startTime ? settleSeconds : urgentPaybackSeconds;
    AdmissionGrant result;
    const SpendingLimit limit{ rate(), spendable, burst_ * share_, settleSeconds, payback, tolerated_ / propagationSeconds };
    result.fractions = admittedFractions(asked, limit);
    result.lasting = lastingFractions(asked, limit);
    result.fraction = totalFraction(asked, result.fractions);
    result.ratePerAsked = rate() / std::max(minAskedRate, askedRate(now));
    result.cheapBelow = costRequests_ >= minCostRequests ? cheapBelow(costUnits_ / costRequests_) : 0;
    return result;
}

} // namespace Portpaddle
