// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/organisation_limits.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// Grants come each 100 ms; after so many lost ones the daemon is cut off, or its gatherer is gone.
constexpr std::chrono::milliseconds grantAge{ 1'000 };
// Counts of an organisation are told this long after the last request, in case that datagrams are lost.
constexpr std::chrono::milliseconds toldAfterLast{ 1'000 };
// News of another region come each 400 ms; after so long some are missing.
constexpr std::chrono::milliseconds regionSilence{ 900 };
// Of its even part; a region in which nothing is asked keeps it for the first requests there.
constexpr double idlePart = 0.05;
// Callers come back no earlier: news of what they do take that long to go round.
constexpr double shortestReturnSeconds = 0.15;
constexpr double longestReturnSeconds = 2;

std::uint32_t wrapped(double units)
{
    return static_cast<std::uint32_t>(static_cast<std::int64_t>(std::llround(units)));
}

/// When a request of @p units fits a bucket that fills at @p perSecond, spread so that callers do not come back together.
std::chrono::milliseconds returnTime(double units, double perSecond, RandomSource &random)
{
    const double whole = perSecond > 0 ? units / perSecond : longestReturnSeconds;
    const double spread = 0.5 + random.fraction();
    const double wait = std::clamp(whole, shortestReturnSeconds, longestReturnSeconds) * spread;
    return std::chrono::milliseconds(std::llround(wait * 1'000));
}

} // namespace

std::uint32_t organisationKey(std::string_view name)
{
    return static_cast<std::uint32_t>(stableHash(name));
}

OrganisationLimits::OrganisationLimits(std::string ownDaemon, std::string ownRegion, IsAggregator isAggregator,
                                       RegionLimit::IsSilent isSilent)
    : ownDaemon_(std::move(ownDaemon))
    , ownRegion_(std::move(ownRegion))
    , isAggregator_(std::move(isAggregator))
    , isSilent_(std::move(isSilent))
{
}

void OrganisationLimits::setTolerance(const LimitTolerance &tolerance)
{
    tolerance_ = tolerance;
}

void OrganisationLimits::setOrganisations(const OrganisationTable &book, SteadyTime now)
{
    std::set<std::uint32_t> limited;
    for (const auto &organisation : book.all()) {
        if (!organisation->limit.isSet()) {
            continue;
        }
        const std::uint32_t key = organisationKey(organisation->name);
        limited.insert(key);
        State &state = states_[key];
        state.limit = organisation->limit;
        updateShare(state, now);
    }
    std::erase_if(states_, [&limited](const auto &entry) { return !limited.contains(entry.first); });
}

void OrganisationLimits::setFleet(std::set<std::string> regions, unsigned daemons)
{
    regions_ = std::move(regions);
    regions_.insert(ownRegion_);
    daemons_ = std::max(1U, daemons);
}

OrganisationLimits::State *OrganisationLimits::find(std::uint32_t organisation)
{
    const auto found = states_.find(organisation);
    return found == states_.end() ? nullptr : &found->second;
}

/// Regions that are heard divide by what they told. One that was never heard has its even part, and one that fell silent the part
/// that it had: it may be cut off and do the same.
double OrganisationLimits::shareOf(const State &state, const std::string &region, SteadyTime now) const
{
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, regions_.size()));
    double left = 1;
    double asked = 0;
    double askedThere = 0;
    for (const std::string &each : regions_) {
        const auto told = state.told.find(each);
        if (told == state.told.end() && each != ownRegion_) {
            left -= even;
        } else if (each != ownRegion_ && now - told->second.at > regionSilence) {
            left -= told->second.share;
        } else {
            const double rate = told == state.told.end() ? 0 : told->second.asked;
            const double weight = rate + idlePart * even * state.limit.perSecond;
            asked += weight;
            askedThere = each == region ? weight : askedThere;
        }
    }
    return asked > 0 ? std::max(0.0, left) * askedThere / asked : even;
}

void OrganisationLimits::updateShare(State &state, SteadyTime now)
{
    state.share = shareOf(state, ownRegion_, now);
    state.region.setOptions(state.limit, state.share, tolerance_, now);
}

std::optional<AdmissionGrant> OrganisationLimits::currentGrant(std::uint32_t organisation, State &state, SteadyTime now)
{
    if (isAggregator_(organisation, now)) {
        state.region.take(ownDaemon_, state.own, now);
        state.grant = state.region.grant(isSilent_, now);
        state.grantAt = now;
    }
    return now - state.grantAt < grantAge ? std::optional(state.grant) : std::nullopt;
}

std::optional<std::chrono::milliseconds> OrganisationLimits::admit(const Organisation &organisation, double units, SteadyTime now,
                                                                   RandomSource &random)
{
    if (!organisation.limit.isSet()) {
        return std::nullopt;
    }
    const std::uint32_t key = organisationKey(organisation.name);
    State *state = find(key);
    if (state == nullptr) {
        return std::nullopt;
    }
    state->own.askedUnits += wrapped(units);
    ++state->own.askedRequests;
    state->ownAsked.add(units, 1, now);
    state->askedAt = now;
    const std::optional<AdmissionGrant> grant = currentGrant(key, *state, now);
    bool admitted = false;
    if (grant) {
        admitted = grant->fraction >= 1 || random.fraction() < grant->fraction;
        state->aloneRate = std::min(state->limit.perSecond, grant->ratePerAsked * state->ownAsked.slowRate(now));
        state->alone = false;
    } else {
        admitted = admitAlone(*state, units, now, random);
    }
    if (!admitted) {
        return returnTime(units, state->limit.perSecond * state->share, random);
    }
    state->own.admittedUnits += wrapped(units);
    return std::nullopt;
}

bool OrganisationLimits::admitAlone(State &state, double units, SteadyTime now, RandomSource &random)
{
    const bool fresh = state.grantAt == SteadyTime{};
    const double evenBurst = fresh ? state.limit.burst / daemons_ : 0;
    if (!state.alone) {
        // A daemon that has just started has its part of the burst until news come, in some 300 ms: after the loss of all of them
        // nobody has spent anything for longer than that. Hundreds that are cut off together must not each begin with a request.
        state.alone = true;
        state.aloneRate = fresh ? state.limit.perSecond / daemons_ : state.aloneRate;
        state.aloneLevel = fresh ? evenBurst : -random.fraction() * units;
        state.aloneAt = now;
    }
    state.aloneLevel = std::min(evenBurst, state.aloneLevel + state.aloneRate * inSeconds(now - state.aloneAt));
    state.aloneAt = now;
    if (state.aloneLevel < 0) {
        return false;
    }
    state.aloneLevel -= units;
    return true;
}

void OrganisationLimits::refund(const Organisation &organisation, double units)
{
    if (State *state = find(organisationKey(organisation.name)); state != nullptr) {
        state->own.admittedUnits -= wrapped(units);
        state->aloneLevel += units;
    }
}

std::vector<Wire::LimitCount> OrganisationLimits::counts(const Selects &selects, SteadyTime now) const
{
    std::vector<Wire::LimitCount> result;
    for (const auto &[key, state] : states_) {
        if (selects(key) && state.askedAt != SteadyTime{} && now - state.askedAt < toldAfterLast) {
            result.emplace_back(key, state.own.askedUnits, state.own.admittedUnits, state.own.askedRequests);
        }
    }
    return result;
}

void OrganisationLimits::takeCounts(const std::string &daemon, std::span<const Wire::LimitCount> counts, SteadyTime now)
{
    for (const Wire::LimitCount &count : counts) {
        if (State *state = find(count.organisation()); state != nullptr) {
            state->region.take(daemon, { count.asked_units(), count.admitted_units(), count.asked_requests() }, now);
        }
    }
}

std::vector<Wire::LimitGrant> OrganisationLimits::grants(const Selects &selects, SteadyTime now)
{
    std::vector<Wire::LimitGrant> result;
    for (auto &[key, state] : states_) {
        if (!selects(key)) {
            continue;
        }
        state.region.take(ownDaemon_, state.own, now);
        const AdmissionGrant grant = state.region.grant(isSilent_, now);
        if (state.region.askedRate(now) > 0) {
            result.emplace_back(key, static_cast<float>(grant.fraction), static_cast<float>(grant.ratePerAsked));
        }
    }
    return result;
}

void OrganisationLimits::takeGrants(std::span<const Wire::LimitGrant> grants, SteadyTime now)
{
    for (const Wire::LimitGrant &grant : grants) {
        if (State *state = find(grant.organisation()); state != nullptr) {
            state->grant = { grant.fraction(), grant.rate_per_asked() };
            state->grantAt = now;
        }
    }
}

std::vector<Wire::LimitDemand> OrganisationLimits::demands(const Selects &selects, SteadyTime now)
{
    std::vector<Wire::LimitDemand> result;
    for (auto &[key, state] : states_) {
        if (selects(key)) {
            const double asked = state.region.askedRate(now);
            state.told[ownRegion_] = { asked, now, state.share };
            updateShare(state, now);
            result.emplace_back(key, static_cast<float>(asked));
        }
    }
    return result;
}

void OrganisationLimits::takeDemands(const std::string &region, std::span<const Wire::LimitDemand> demands, SteadyTime now)
{
    if (!regions_.contains(region)) {
        return;
    }
    for (const Wire::LimitDemand &demand : demands) {
        if (State *state = find(demand.organisation()); state != nullptr && std::isfinite(demand.units_per_second())) {
            RegionDemand &told = state->told[region];
            told.asked = std::max(0.0, static_cast<double>(demand.units_per_second()));
            told.at = now;
            told.share = shareOf(*state, region, now);
            updateShare(*state, now);
        }
    }
}

double OrganisationLimits::admittedPart(const std::string &organisation) const
{
    const auto found = states_.find(organisationKey(organisation));
    return found == states_.end() ? 1 : std::min(1.0, found->second.grant.fraction);
}

} // namespace Portpaddle
