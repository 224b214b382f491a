// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Admission by the limits of organisations over all daemons, without a call on the request path.
#pragma once

#include "portpaddle/limits/region_limit.h"
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

/// Belongs to one event loop. Each region spends a part of a limit by what was last asked in the regions; in a region the daemons
/// that gather for an organisation let through what fits.
class OrganisationLimits
{
public:
    /// Whether this daemon gathers for its region, by the key of an organisation.
    using IsAggregator = std::function<bool(std::uint32_t organisation, SteadyTime now)>;
    /// Which organisations are told of, by their keys.
    using Selects = std::function<bool(std::uint32_t organisation)>;

    OrganisationLimits(std::string ownDaemon, std::string ownRegion, IsAggregator isAggregator, RegionLimit::IsSilent isSilent);

    /// What may go over limits. Call before setOrganisations().
    void setTolerance(const LimitTolerance &tolerance);
    /// The limits in force; those that stay keep what was counted.
    void setOrganisations(const OrganisationTable &book, SteadyTime now);
    /// All regions of the fleet, and how many daemons there are.
    void setFleet(std::set<std::string> regions, unsigned daemons);

    /// No value where @p units more are admitted; else when a caller should come back.
    std::optional<std::chrono::milliseconds> admit(const Organisation &organisation, double units, SteadyTime now,
                                                   RandomSource &random);
    /// An admitted request did not run.
    void refund(const Organisation &organisation, double units);

    /// What was asked of this daemon, of organisations of which anything was asked lately.
    std::vector<Wire::LimitCount> counts(const Selects &selects, SteadyTime now) const;
    void takeCounts(const std::string &daemon, std::span<const Wire::LimitCount> counts, SteadyTime now);
    /// What the daemons of this region may admit, of organisations of which anything is asked.
    std::vector<Wire::LimitGrant> grants(const Selects &selects, SteadyTime now);
    void takeGrants(std::span<const Wire::LimitGrant> grants, SteadyTime now);
    /// What is asked in this region. From here on the region's part goes by these figures.
    std::vector<Wire::LimitDemand> demands(const Selects &selects, SteadyTime now);
    void takeDemands(const std::string &region, std::span<const Wire::LimitDemand> demands, SteadyTime now);

    /// Of what is asked for @p organisation, the part that was admitted by the last news; one where it has no limit.
    double admittedPart(const std::string &organisation) const;

private:
    /// What a region told that is asked there.
    struct RegionDemand
    {
        double asked = 0;
        SteadyTime at{};
        /// Its part of the limit when it told that.
        double share = 0;
    };

    struct State
    {
        OrganisationLimit limit;
        DemandCounters own;
        SteadyTime askedAt{};
        RateWindow ownAsked;
        RegionLimit region;
        double share = 1;
        std::map<std::string, RegionDemand> told;
        AdmissionGrant grant;
        SteadyTime grantAt{};
        /// For the time without grants.
        bool alone = false;
        double aloneLevel = 0;
        double aloneRate = 0;
        SteadyTime aloneAt{};
    };

    State *find(std::uint32_t organisation);
    /// Divides the limit by what the regions told; gives the part of @p region.
    double shareOf(const State &state, const std::string &region, SteadyTime now) const;
    void updateShare(State &state, SteadyTime now);
    /// The grant in force; no value where nobody that gathers is heard.
    std::optional<AdmissionGrant> currentGrant(std::uint32_t organisation, State &state, SteadyTime now);
    /// Without news a daemon goes on with the part that it had.
    bool admitAlone(State &state, double units, SteadyTime now, RandomSource &random);

    std::string ownDaemon_;
    std::string ownRegion_;
    IsAggregator isAggregator_;
    RegionLimit::IsSilent isSilent_;
    std::set<std::string> regions_;
    unsigned daemons_ = 1;
    LimitTolerance tolerance_;
    std::unordered_map<std::uint32_t, State> states_;
};

/// The key under which news name an organisation.
std::uint32_t organisationKey(std::string_view name);

} // namespace Portpaddle
