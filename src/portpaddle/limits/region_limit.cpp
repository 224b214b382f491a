// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/region_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// A level above zero is spent, one below zero paid back, over this time: longer than news take within a region, so that all
// daemons together do not swing.
constexpr double settleSeconds = 0.5;
// A daemon that is cut off goes on with its part. The bounds on limits are counted over such windows; one that is dead for longer
// leaves its part to the others.
constexpr std::chrono::milliseconds longestAbsence{ 9'000 };
// Half of what the deployment's sheet allows over a limit: this much of it is not kept back for daemons that are missing, most of
// which are dead.
constexpr double toleratedMissing = 0.05;
// Of daemons of which less was asked for so long nothing is known.
constexpr std::chrono::milliseconds sourceMemory{ 60'000 };
constexpr double decaySeconds = 1;
// A difference beyond this is no count but a daemon that started again.
constexpr std::int32_t largestStep = 1 << 28;
constexpr double leastAsked = 1e-9;
// Counters of a daemon that is new here start from zero up to so many requests: in a large fleet most daemons are asked for a
// small organisation once in several seconds. Beyond that they began long before.
constexpr std::uint32_t fewRequests = 3;
// From a request at one daemon until all daemons of the region admit less for it.
constexpr double newsSeconds = 0.4;
// Of what a limit tolerates; the rest is for regions that are cut off and daemons that are missing.
constexpr double toleratedForDelay = 0.5;
// Of that, what evens out prompts which are larger than the region's part of the burst of a small limit.
constexpr double toleratedForPrompts = 0.75;

std::int32_t step(std::uint32_t now, std::uint32_t before)
{
    return static_cast<std::int32_t>(now - before);
}

/// Whether the same daemon may have counted on from @p before to @p now; what was admitted may fall a little, by refunds.
bool follows(const DemandCounters &now, const DemandCounters &before)
{
    const std::int32_t asked = step(now.askedUnits, before.askedUnits);
    const std::int32_t requests = step(now.askedRequests, before.askedRequests);
    return asked >= 0 && asked <= largestStep && requests >= 0
        && std::abs(std::int64_t{ step(now.admittedUnits, before.admittedUnits) }) <= largestStep;
}

} // namespace

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
        // What is tolerated may have been spent by the process that gathered before this one.
        level_ = -tolerated_;
    }
}

void RegionLimit::take(const std::string &daemon, const DemandCounters &counters, SteadyTime now)
{
    const auto [position, isNew] = sources_.try_emplace(daemon);
    Source &source = position->second;
    const DemandCounters before = std::exchange(source.last, counters);
    const SteadyTime heardBefore = std::exchange(source.heardAt, now);
    const bool startedAgain = !isNew && !follows(counters, before);
    const bool fromZero = isNew || startedAgain;
    if (fromZero && (counters.askedRequests > fewRequests || !follows(counters, {}))) {
        return;
    }
    const DemandCounters base = fromZero ? DemandCounters{} : before;
    const auto asked = static_cast<double>(step(counters.askedUnits, base.askedUnits));
    refill(now);
    level_ -= step(counters.admittedUnits, base.admittedUnits);
    asked_.add(asked, step(counters.askedRequests, base.askedRequests), now);
    const double decay = fromZero ? 0 : std::exp(-inSeconds(now - heardBefore) / decaySeconds);
    source.asked = source.asked * decay + asked / decaySeconds;
}

double RegionLimit::askedRate(SteadyTime now) const
{
    return asked_.rate(now);
}

double RegionLimit::missingPart(const IsSilent &isSilent, SteadyTime now)
{
    std::erase_if(sources_, [now](const auto &entry) { return now - entry.second.heardAt > sourceMemory; });
    double all = 0;
    double missing = 0;
    for (const auto &[daemon, source] : sources_) {
        const SteadyTime::duration since = now - source.heardAt;
        const bool silent = isSilent(daemon, now);
        const double asked = silent ? source.asked : source.asked * std::exp(-inSeconds(since) / decaySeconds);
        all += silent && since > longestAbsence ? 0 : asked;
        missing += silent && since <= longestAbsence ? asked : 0;
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
    missing_ = missingPart(isSilent, now);
    const double asked = std::max(leastAsked, askedRate(now));
    const double spendable = level_ + toleratedForPrompts * tolerated_;
    const bool harmless = spendable >= 0 && (asked - rate()) * newsSeconds <= tolerated_;
    const double fraction = harmless ? 1 : std::max(0.0, rate() + spendable / settleSeconds) / asked;
    return { fraction, rate() / asked };
}

} // namespace Portpaddle
