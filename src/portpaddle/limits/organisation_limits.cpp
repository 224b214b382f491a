// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/organisation_limits.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// Grants arrive every 100 ms; without any for this time the daemon is partitioned or its aggregator has gone.
constexpr std::chrono::milliseconds maxGrantAge{ 1'000 };
// The counts of an organisation are reported for this long after its last request, because datagrams may be lost.
constexpr std::chrono::milliseconds reportingTime{ 1'000 };
// Another region reports its demand every 400 ms; after this time at least one report is missing.
constexpr std::chrono::milliseconds maxRegionReportAge{ 900 };
// Fraction of its equal share that a region without demand keeps for the first requests there.
constexpr double idleFraction = 0.05;
// Callers are asked to retry no earlier than this, since reports of their requests need that long to reach all daemons.
constexpr double minRetryDelaySeconds = 0.15;
constexpr double maxRetryDelaySeconds = 2;

std::uint32_t toWrappingCounter(double units)
{
    return static_cast<std::uint32_t>(static_cast<std::int64_t>(std::llround(units)));
}

/// Returns the time in which a bucket that fills at @p perSecond gains @p units, randomised so that callers do not all retry at
/// the same time.
std::chrono::milliseconds retryDelay(double units, double perSecond, RandomSource &random)
{
    const double whole = perSecond > 0 ? units / perSecond : maxRetryDelaySeconds;
    const double spread = 0.5 + random.fraction();
    const double wait = std::clamp(whole, minRetryDelaySeconds, maxRetryDelaySeconds) * spread;
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

void OrganisationLimits::setOrganisations(const OrganisationTable &table, SteadyTime now)
{
    std::set<std::uint32_t> limited;
    for (const auto &organisation : table.all()) {
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

/// Regions with current reports divide the limit in proportion to their reported demand. A region that never reported gets an
/// equal share, and a region whose reports stopped keeps its last share: it may be partitioned and divide the limit in the same
/// way.
double OrganisationLimits::shareOf(const State &state, const std::string &region, SteadyTime now) const
{
    const double evenShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, regions_.size()));
    double left = 1;
    double totalWeight = 0;
    double regionWeight = 0;
    for (const std::string &each : regions_) {
        const auto reportedDemand = state.reportedDemand.find(each);
        if (reportedDemand == state.reportedDemand.end() && each != ownRegion_) {
            left -= evenShare;
        } else if (each != ownRegion_ && now - reportedDemand->second.at > maxRegionReportAge) {
            left -= reportedDemand->second.share;
        } else {
            const double rate = reportedDemand == state.reportedDemand.end() ? 0 : reportedDemand->second.asked;
            const double weight = rate + idleFraction * evenShare * state.limit.perSecond;
            totalWeight += weight;
            regionWeight = each == region ? weight : regionWeight;
        }
    }
    return totalWeight > 0 ? std::max(0.0, left) * regionWeight / totalWeight : evenShare;
}

void OrganisationLimits::updateShare(State &state, SteadyTime now)
{
    state.share = shareOf(state, ownRegion_, now);
    state.region.setOptions(state.limit, state.share, tolerance_, now);
}

std::optional<AdmissionGrant> OrganisationLimits::currentGrant(std::uint32_t organisation, State &state, SteadyTime now)
{
    if (isAggregator_(organisation, now)) {
        state.region.recordCounters(ownDaemon_, state.own, now);
        state.grant = state.region.grant(isSilent_, now);
        state.grantAt = now;
    }
    return now - state.grantAt < maxGrantAge ? std::optional(state.grant) : std::nullopt;
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
    state->own.askedUnits += toWrappingCounter(units);
    ++state->own.askedRequests;
    state->ownDemand.add(units, 1, now);
    state->askedAt = now;
    const std::optional<AdmissionGrant> grant = currentGrant(key, *state, now);
    bool admitted = false;
    if (grant) {
        admitted = grant->fraction >= 1 || random.fraction() < grant->fraction;
        state->ungrantedRate = std::min(state->limit.perSecond, grant->ratePerAsked * state->ownDemand.fullWindowRate(now));
        state->withoutGrant = false;
    } else {
        admitted = admitWithoutGrant(*state, units, now, random);
    }
    if (!admitted) {
        return retryDelay(units, state->limit.perSecond * state->share, random);
    }
    state->own.admittedUnits += toWrappingCounter(units);
    return std::nullopt;
}

bool OrganisationLimits::admitWithoutGrant(State &state, double units, SteadyTime now, RandomSource &random)
{
    const bool fresh = state.grantAt == SteadyTime{};
    const double evenBurst = fresh ? state.limit.burst / daemons_ : 0;
    if (!state.withoutGrant) {
        // A daemon that has just started has its part of the burst until grants arrive, within about 300 ms: if all daemons
        // restart, none has spent anything for longer than that. Hundreds of daemons that are partitioned at once must not each
        // start by admitting a request.
        state.withoutGrant = true;
        state.ungrantedRate = fresh ? state.limit.perSecond / daemons_ : state.ungrantedRate;
        state.ungrantedLevel = fresh ? evenBurst : -random.fraction() * units;
        state.ungrantedAt = now;
    }
    state.ungrantedLevel = std::min(evenBurst, state.ungrantedLevel + state.ungrantedRate * inSeconds(now - state.ungrantedAt));
    state.ungrantedAt = now;
    if (state.ungrantedLevel < 0) {
        return false;
    }
    state.ungrantedLevel -= units;
    return true;
}

void OrganisationLimits::refund(const Organisation &organisation, double units)
{
    if (State *state = find(organisationKey(organisation.name)); state != nullptr) {
        state->own.admittedUnits -= toWrappingCounter(units);
        state->ungrantedLevel += units;
    }
}

std::vector<Wire::LimitCount> OrganisationLimits::counts(const Selects &selects, SteadyTime now) const
{
    std::vector<Wire::LimitCount> result;
    for (const auto &[key, state] : states_) {
        if (selects(key) && state.askedAt != SteadyTime{} && now - state.askedAt < reportingTime) {
            result.emplace_back(key, state.own.askedUnits, state.own.admittedUnits, state.own.askedRequests);
        }
    }
    return result;
}

void OrganisationLimits::takeCounts(const std::string &daemon, std::span<const Wire::LimitCount> counts, SteadyTime now)
{
    for (const Wire::LimitCount &count : counts) {
        if (State *state = find(count.organisation()); state != nullptr) {
            state->region.recordCounters(daemon, { count.asked_units(), count.admitted_units(), count.asked_requests() }, now);
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
        state.region.recordCounters(ownDaemon_, state.own, now);
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
            state.reportedDemand[ownRegion_] = { asked, now, state.share };
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
            RegionDemand &reportedDemand = state->reportedDemand[region];
            reportedDemand.asked = std::max(0.0, static_cast<double>(demand.units_per_second()));
            reportedDemand.at = now;
            reportedDemand.share = shareOf(*state, region, now);
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
