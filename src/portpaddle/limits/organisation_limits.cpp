// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/organisation_limits.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/limits/region_division.h"
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
// The same for an organisation whose demand is reported by urgency: it lasts until the first urgent requests of a region have
// moved a share of the limit to it, within about 0.7 s. A region whose first urgent requests are long needs more than one with
// short ones.
constexpr double idleUrgentFraction = 0.15;
// Urgent demand varies by chance between two reports of it; a region gets this multiple of it before less urgent demand.
constexpr double urgentHeadroom = 1.25;
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

std::array<float, limitClassCount> asFloats(const ByLimitClass &values)
{
    std::array<float, limitClassCount> result{};
    std::transform(values.begin(), values.end(), result.begin(), [](double value) { return static_cast<float>(value); });
    return result;
}

/// Returns the entry for an organisation; null if there is none.
template<typename Entry>
const Entry *entryOf(std::span<const Entry> entries, std::uint32_t organisation)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [organisation](const Entry &entry) { return entry.organisation() == organisation; });
    return found == entries.end() ? nullptr : &*found;
}

bool isFinite(const Wire::LimitGrant &grant)
{
    return std::isfinite(grant.fraction()) && std::isfinite(grant.rate_per_asked());
}

bool isFinite(const Wire::LimitUrgencyGrant &grant)
{
    const std::array values{ grant.cheap(),          grant.urgent(),        grant.usual(),           grant.patient(),
                             grant.lasting_urgent(), grant.lasting_usual(), grant.lasting_patient(), grant.cheap_below() };
    return std::all_of(values.begin(), values.end(), [](float value) { return std::isfinite(value); });
}

/// Divides the @p asked units a second of a region by class; no value if the region does not report its demand by class.
std::optional<ByLimitClass> classesOf(double asked, const Wire::LimitUrgencyDemand *reported)
{
    if (reported == nullptr) {
        return std::nullopt;
    }
    double left = asked;
    const auto take = [&left](double units) {
        const double taken = std::isfinite(units) ? std::clamp(units, 0.0, left) : 0;
        left -= taken;
        return taken;
    };
    const double cheap = take(reported->cheap());
    const double urgent = take(reported->urgent());
    const double patient = take(reported->patient());
    return ByLimitClass{ cheap, urgent, left, patient };
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

/// Regions with current reports divide the limit by their reported demand, by urgency if all of them report it. A region that
/// never reported gets an equal share, and a region whose reports stopped keeps the greater of its last two shares: it may be
/// partitioned and divide the limit in the same way.
double OrganisationLimits::shareOf(const State &state, const std::string &region, SteadyTime now) const
{
    const double evenShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, regions_.size()));
    double left = 1;
    std::vector<const RegionDemand *> reported;
    std::optional<std::size_t> position;
    static const RegionDemand noDemand{ .byClass = ByLimitClass{} };
    for (const std::string &each : regions_) {
        const auto found = state.reportedDemand.find(each);
        const bool known = found != state.reportedDemand.end();
        if (!known && each != ownRegion_) {
            left -= evenShare;
        } else if (each != ownRegion_ && now - found->second.at > maxRegionReportAge) {
            left -= std::max(found->second.share, found->second.shareBefore);
        } else {
            position = each == region ? reported.size() : position;
            reported.push_back(known ? &found->second : &noDemand);
        }
    }
    const double limit = std::max(0.0, left) * state.limit.perSecond;
    const std::vector<double> parts = divideLimit(demandsOf(reported, evenShare * state.limit.perSecond), limit);
    return position ? parts[*position] / state.limit.perSecond : 0;
}

/// Adds a fraction of @p evenRate to the demand of each region, so that one without demand has a share for its first requests.
/// All regions must divide in the same way, hence a single one that reports no classes makes all demand usual.
std::vector<ByLimitClass> OrganisationLimits::demandsOf(const std::vector<const RegionDemand *> &reported, double evenRate)
{
    const bool byClass
        = std::all_of(reported.begin(), reported.end(), [](const auto *each) { return each->byClass.has_value(); });
    std::vector<ByLimitClass> result;
    for (const RegionDemand *each : reported) {
        ByLimitClass demand{};
        if (byClass) {
            demand = *each->byClass;
            double &urgent = demand.at(static_cast<std::size_t>(LimitClass::Urgent));
            urgent = urgentHeadroom * urgent + idleUrgentFraction * evenRate;
        } else {
            demand.at(static_cast<std::size_t>(LimitClass::Usual)) = each->asked + idleFraction * evenRate;
        }
        result.push_back(demand);
    }
    return result;
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
        state.steady.update(state.grant.lasting, now);
        state.grantAt = now;
    }
    return now - state.grantAt < maxGrantAge ? std::optional(state.grant) : std::nullopt;
}

std::optional<std::chrono::milliseconds> OrganisationLimits::admit(const Organisation &organisation, double units, SteadyTime now,
                                                                   RandomSource &random)
{
    return admit(organisation, LimitAsk{ .units = units }, now, random);
}

std::optional<std::chrono::milliseconds> OrganisationLimits::admit(const Organisation &organisation, const LimitAsk &ask,
                                                                   SteadyTime now, RandomSource &random)
{
    if (!organisation.limit.isSet()) {
        return std::nullopt;
    }
    const std::uint32_t key = organisationKey(organisation.name);
    State *state = find(key);
    if (state == nullptr) {
        return std::nullopt;
    }
    recordAsked(*state, ask, now);
    const double chance = ask.chance ? *ask.chance : random.fraction();
    const std::optional<AdmissionGrant> grant = currentGrant(key, *state, now);
    bool admitted = false;
    if (grant) {
        admitted = chance < fractionFor(grant->fractions, ask.urgency, ask.units, grant->cheapBelow);
        state->ungrantedRate = std::min(state->limit.perSecond, grant->ratePerAsked * state->ownDemand.fullWindowRate(now));
        state->withoutGrant = false;
    } else {
        admitted = admitWithoutGrant(*state, ask, chance, now, random);
    }
    if (!admitted) {
        return retryAfter(*state, ask, chance, now, random);
    }
    state->own.admittedUnits += toWrappingCounter(ask.units);
    return std::nullopt;
}

std::chrono::milliseconds OrganisationLimits::retryAfter(const State &state, const LimitAsk &ask, double chance, SteadyTime now,
                                                         RandomSource &random)
{
    if (state.withoutGrant || !ask.chance) {
        // The request is admitted by a bucket or by a new random number when it returns.
        return retryDelay(ask.units, state.limit.perSecond * state.share, random);
    }
    const double fraction = fractionFor(state.steady.values(now), ask.urgency, ask.units, state.grant.cheapBelow);
    return retryTime({ chance, fraction, ask.timeLeft }, random.fraction());
}

void OrganisationLimits::recordAsked(State &state, const LimitAsk &ask, SteadyTime now)
{
    state.own.addAsked(toWrappingCounter(ask.units), limitClassOf(ask.urgency, ask.units, state.grant.cheapBelow));
    state.ownDemand.add(ask.units, 1, now);
    state.askedAt = now;
    state.urgentAskedAt = ask.urgency == Urgency::Urgent ? now : state.urgentAskedAt;
}

bool OrganisationLimits::admitWithoutGrant(State &state, const LimitAsk &ask, double chance, SteadyTime now, RandomSource &random)
{
    const bool fresh = state.grantAt == SteadyTime{};
    const double evenBurst = fresh ? state.limit.burst / daemons_ : 0;
    if (!state.withoutGrant) {
        // A daemon that has just started has its part of the burst until grants arrive, within about 300 ms: if all daemons
        // restart, none has spent anything for longer than that. Hundreds of daemons that are partitioned at once must not each
        // start by admitting a request.
        state.withoutGrant = true;
        state.ungrantedRate = fresh ? state.limit.perSecond / daemons_ : state.ungrantedRate;
        state.ungrantedLevel = fresh ? evenBurst : -random.fraction() * ask.units;
        state.ungrantedAt = now;
    }
    state.ungrantedLevel = std::min(evenBurst, state.ungrantedLevel + state.ungrantedRate * inSeconds(now - state.ungrantedAt));
    state.ungrantedAt = now;
    // The last fractions leave the rate to urgent requests, as long as there are any.
    const bool yields = ask.urgency != Urgency::Urgent && now - state.urgentAskedAt < reportingTime
        && chance >= fractionFor(state.grant.fractions, ask.urgency, ask.units, state.grant.cheapBelow);
    if (state.ungrantedLevel < 0 || yields) {
        return false;
    }
    state.ungrantedLevel -= ask.units;
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

std::vector<Wire::LimitUrgencyCount> OrganisationLimits::urgencyCounts(const Selects &selects, SteadyTime now) const
{
    std::vector<Wire::LimitUrgencyCount> result;
    for (const auto &[key, state] : states_) {
        if (selects(key) && state.askedAt != SteadyTime{} && now - state.askedAt < reportingTime) {
            result.emplace_back(key, state.own.cheapUnits, state.own.urgentUnits, state.own.patientUnits);
        }
    }
    return result;
}

void OrganisationLimits::takeCounts(const std::string &daemon, std::span<const Wire::LimitCount> counts, SteadyTime now,
                                    std::span<const Wire::LimitUrgencyCount> byUrgency)
{
    for (const Wire::LimitCount &count : counts) {
        State *state = find(count.organisation());
        if (state == nullptr) {
            continue;
        }
        DemandCounters counters{ count.asked_units(), count.admitted_units(), count.asked_requests() };
        if (const auto *classes = entryOf(byUrgency, count.organisation())) {
            counters.cheapUnits = classes->cheap_units();
            counters.urgentUnits = classes->urgent_units();
            counters.patientUnits = classes->patient_units();
        }
        state->region.recordCounters(daemon, counters, now);
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
        const AdmissionGrant &grant = state.regionGrant = state.region.grant(isSilent_, now);
        if (state.region.askedRate(now) > 0) {
            result.emplace_back(key, static_cast<float>(grant.fraction), static_cast<float>(grant.ratePerAsked));
        }
    }
    return result;
}

std::vector<Wire::LimitUrgencyGrant> OrganisationLimits::urgencyGrants(const Selects &selects, SteadyTime now) const
{
    std::vector<Wire::LimitUrgencyGrant> result;
    for (const auto &[key, state] : states_) {
        if (!selects(key) || state.region.askedRate(now) <= 0) {
            continue;
        }
        const auto fractions = asFloats(state.regionGrant.fractions);
        const auto lasting = asFloats(state.regionGrant.lasting);
        result.emplace_back(key, fractions[0], fractions[1], fractions[2], fractions[3], lasting[1], lasting[2], lasting[3],
                            static_cast<float>(state.regionGrant.cheapBelow));
    }
    return result;
}

void OrganisationLimits::takeGrants(std::span<const Wire::LimitGrant> grants, SteadyTime now,
                                    std::span<const Wire::LimitUrgencyGrant> byUrgency)
{
    for (const Wire::LimitGrant &grant : grants) {
        State *state = find(grant.organisation());
        if (state == nullptr || !isFinite(grant)) {
            continue;
        }
        state->grant = { .fraction = grant.fraction(), .ratePerAsked = grant.rate_per_asked() };
        state->grant.fractions.fill(grant.fraction());
        state->grant.lasting.fill(grant.fraction());
        if (const auto *classes = entryOf(byUrgency, grant.organisation()); classes != nullptr && isFinite(*classes)) {
            state->grant.fractions = { classes->cheap(), classes->urgent(), classes->usual(), classes->patient() };
            state->grant.lasting
                = { classes->cheap(), classes->lasting_urgent(), classes->lasting_usual(), classes->lasting_patient() };
            state->grant.cheapBelow = classes->cheap_below();
        }
        state->steady.update(state->grant.lasting, now);
        state->grantAt = now;
    }
}

std::vector<Wire::LimitDemand> OrganisationLimits::demands(const Selects &selects, SteadyTime now)
{
    std::vector<Wire::LimitDemand> result;
    for (auto &[key, state] : states_) {
        if (selects(key)) {
            const double asked = state.region.askedRate(now);
            state.reportedDemand[ownRegion_] = { asked, state.region.askedByClass(now), now, state.share, state.share };
            updateShare(state, now);
            result.emplace_back(key, static_cast<float>(asked));
        }
    }
    return result;
}

std::vector<Wire::LimitUrgencyDemand> OrganisationLimits::urgencyDemands(const Selects &selects) const
{
    std::vector<Wire::LimitUrgencyDemand> result;
    for (const auto &[key, state] : states_) {
        const auto own = state.reportedDemand.find(ownRegion_);
        if (selects(key) && own != state.reportedDemand.end() && own->second.byClass) {
            const auto &[cheap, urgent, usual, patient] = *own->second.byClass;
            result.emplace_back(key, static_cast<float>(cheap), static_cast<float>(urgent), static_cast<float>(patient));
        }
    }
    return result;
}

void OrganisationLimits::takeDemands(const std::string &region, std::span<const Wire::LimitDemand> demands, SteadyTime now,
                                     std::span<const Wire::LimitUrgencyDemand> byUrgency)
{
    if (!regions_.contains(region)) {
        return;
    }
    for (const Wire::LimitDemand &demand : demands) {
        if (State *state = find(demand.organisation()); state != nullptr && std::isfinite(demand.units_per_second())) {
            RegionDemand &reportedDemand = state->reportedDemand[region];
            reportedDemand.asked = std::max(0.0, static_cast<double>(demand.units_per_second()));
            reportedDemand.byClass = classesOf(reportedDemand.asked, entryOf(byUrgency, demand.organisation()));
            reportedDemand.at = now;
            reportedDemand.shareBefore = reportedDemand.share;
            reportedDemand.share = shareOf(*state, region, now);
            updateShare(*state, now);
        }
    }
}

double OrganisationLimits::admittedPart(const std::string &organisation, Urgency urgency) const
{
    const auto found = states_.find(organisationKey(organisation));
    return found == states_.end() ? 1 : std::min(1.0, fractionFor(found->second.grant.fractions, urgency, 0, 0));
}

} // namespace Portpaddle
