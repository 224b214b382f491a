// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Admits requests within the limits of organisations over all daemons, without a remote call on the request path.
#pragma once

#include "portpaddle/limits/region_limit.h"
#include "portpaddle/limits/retry_time.h"
#include "portpaddle/limits/urgency_fractions.h"
#include "portpaddle/wire/load_generated.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class RandomSource;

/// A request on which a limit decides.
struct LimitAsk
{
    double units = 0;
    Urgency urgency = Urgency::Usual;
    /// Time until the caller gives up.
    std::chrono::milliseconds timeLeft{ 30'000 };
    /// Number in [0, 1) that decides between requests of one class, see admissionChance(); a random one if not set.
    std::optional<double> chance{};
};

/// Each region has a share of a limit in proportion to the demand that the regions last reported; in each region the aggregators
/// of an organisation grant what fits this share. Belongs to one event loop.
class OrganisationLimits
{
public:
    /// Returns whether this daemon is an aggregator of its region for the organisation with this key.
    using IsAggregator = std::function<bool(std::uint32_t organisation, SteadyTime now)>;
    /// Returns whether the organisation with this key is reported.
    using Selects = std::function<bool(std::uint32_t organisation)>;

    OrganisationLimits(std::string ownDaemon, std::string ownRegion, IsAggregator isAggregator, RegionLimit::IsSilent isSilent);

    /// Sets by how much limits may be exceeded. Call before setOrganisations().
    void setTolerance(const LimitTolerance &tolerance);
    /// Sets the limits in force; organisations that stay keep their counts.
    void setOrganisations(const OrganisationTable &table, SteadyTime now);
    /// Sets all regions of the fleet and the number of its daemons.
    void setFleet(std::set<std::string> regions, unsigned daemons);

    /// Returns no value if the request is admitted, else the time after which the caller should retry.
    std::optional<std::chrono::milliseconds> admit(const Organisation &organisation, const LimitAsk &ask, SteadyTime now,
                                                   RandomSource &random);
    /// Decides on a request of usual urgency that costs @p units.
    std::optional<std::chrono::milliseconds> admit(const Organisation &organisation, double units, SteadyTime now,
                                                   RandomSource &random);
    /// Gives back the units of an admitted request that did not run.
    void refund(const Organisation &organisation, double units);

    /// Returns the counters of this daemon for the selected organisations with recent requests.
    std::vector<Wire::LimitCount> counts(const Selects &selects, SteadyTime now) const;
    /// Returns the counters by urgency for the same organisations in the same order.
    std::vector<Wire::LimitUrgencyCount> urgencyCounts(const Selects &selects, SteadyTime now) const;
    /// Applies the counters that @p daemon of this region reported; what has no entry in @p byUrgency counts as usual.
    void takeCounts(const std::string &daemon, std::span<const Wire::LimitCount> counts, SteadyTime now,
                    std::span<const Wire::LimitUrgencyCount> byUrgency = {});
    /// Returns what each daemon of this region may admit, for the selected organisations with demand.
    std::vector<Wire::LimitGrant> grants(const Selects &selects, SteadyTime now);
    /// Returns the last of these grants by urgency, for the same organisations in the same order.
    std::vector<Wire::LimitUrgencyGrant> urgencyGrants(const Selects &selects, SteadyTime now) const;
    /// Applies the grants of this region's aggregators; a grant without an entry in @p byUrgency admits the same fraction of all
    /// classes.
    void takeGrants(std::span<const Wire::LimitGrant> grants, SteadyTime now,
                    std::span<const Wire::LimitUrgencyGrant> byUrgency = {});
    /// Returns the demand in this region for the selected organisations. The share of this region depends on these values from
    /// now on.
    std::vector<Wire::LimitDemand> demands(const Selects &selects, SteadyTime now);
    /// Returns the same demand by urgency, for the same organisations in the same order.
    std::vector<Wire::LimitUrgencyDemand> urgencyDemands(const Selects &selects) const;
    /// Applies the demand that another region reported.
    void takeDemands(const std::string &region, std::span<const Wire::LimitDemand> demands, SteadyTime now,
                     std::span<const Wire::LimitUrgencyDemand> byUrgency = {});

    /// Returns the fraction of the demand of this urgency that the last grant admitted; 1 if the organisation has no limit.
    double admittedPart(const std::string &organisation, Urgency urgency) const;

private:
    /// The demand that a region last reported.
    struct RegionDemand
    {
        double asked = 0;
        /// The same by class; no value if the region does not report it.
        std::optional<ByLimitClass> byClass;
        SteadyTime at{};
        /// The share of the limit that the region had at this report.
        double share = 0;
        /// The same at the report before, which the region may have acted on last.
        double shareBefore = 0;
    };

    struct State
    {
        OrganisationLimit limit;
        DemandCounters own;
        SteadyTime askedAt{};
        SteadyTime urgentAskedAt{};
        RateWindow ownDemand;
        RegionLimit region;
        AdmissionGrant regionGrant;
        double share = 1;
        std::map<std::string, RegionDemand> reportedDemand;
        AdmissionGrant grant;
        SteadyTime grantAt{};
        SteadyFractions steady;
        /// State of admission while no grant is in force.
        bool withoutGrant = false;
        double ungrantedLevel = 0;
        double ungrantedRate = 0;
        SteadyTime ungrantedAt{};
    };

    State *find(std::uint32_t organisation);
    /// Divides the limit by the reported demand and returns the share of @p region.
    double shareOf(const State &state, const std::string &region, SteadyTime now) const;
    static std::vector<ByLimitClass> demandsOf(const std::vector<const RegionDemand *> &reported, double evenRate);
    /// Returns the Retry-After of a refused request.
    static std::chrono::milliseconds retryAfter(const State &state, const LimitAsk &ask, double chance, SteadyTime now,
                                                RandomSource &random);
    static void recordAsked(State &state, const LimitAsk &ask, SteadyTime now);
    void updateShare(State &state, SteadyTime now);
    /// Returns the grant in force; no value while no aggregator sends any.
    std::optional<AdmissionGrant> currentGrant(std::uint32_t organisation, State &state, SteadyTime now);
    /// Admits requests at the last rate of this daemon while no grant is in force, urgent ones first.
    bool admitWithoutGrant(State &state, const LimitAsk &ask, double chance, SteadyTime now, RandomSource &random);

    std::string ownDaemon_;
    std::string ownRegion_;
    IsAggregator isAggregator_;
    RegionLimit::IsSilent isSilent_;
    std::set<std::string> regions_;
    unsigned daemons_ = 1;
    LimitTolerance tolerance_;
    std::unordered_map<std::uint32_t, State> states_;
};

/// Returns the key of an organisation in digests.
std::uint32_t organisationKey(std::string_view name);

} // namespace Portpaddle
