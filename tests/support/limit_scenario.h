// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time the demand of one organisation on many daemons, under a way to enforce its limit.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/limits/organisation_limits.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// Event that begins at second 10.
enum class LimitEvent {
    Calm,
    Hot,
    Shift,
    HotAndRegionCut,
    HerdKilled,
    Lowered,
    HotAndDaemonsCut,
    HotAndMoved,
    KilledInSeries,
    GatherersKilled
};
inline constexpr LimitEvent everyLimitEvent[] = { LimitEvent::Calm,
                                                  LimitEvent::Hot,
                                                  LimitEvent::Shift,
                                                  LimitEvent::HotAndRegionCut,
                                                  LimitEvent::HerdKilled,
                                                  LimitEvent::Lowered,
                                                  LimitEvent::HotAndDaemonsCut,
                                                  LimitEvent::HotAndMoved,
                                                  LimitEvent::KilledInSeries,
                                                  LimitEvent::GatherersKilled };
std::string_view nameOf(LimitEvent event);

/// One daemon of the scenario.
struct ScenarioDaemon
{
    unsigned region = 0;
    /// False while the daemon is not running.
    bool alive = true;
    /// Whether the daemon exchanges digests with no other daemon.
    bool partitioned = false;
};

/// A way to enforce a limit over all daemons, with the delays of its digests.
class LimitWay
{
public:
    using Time = SteadyTime;

    virtual ~LimitWay() = default;
    virtual bool admit(std::size_t daemon, double units, Time now) = 0;
    /// Returns no value if the request is admitted, else the Retry-After.
    virtual std::optional<std::chrono::milliseconds> ask(std::size_t daemon, const LimitAsk &ask, Time now) = 0;
    /// Called every 100 ms; digests pass between regions, except to and from the partitioned region @p regionCut.
    virtual void tick(const std::vector<ScenarioDaemon> &daemons, int regionCut, Time now) = 0;
    virtual void setLimit(const OrganisationLimit &limit, Time now) = 0;
    /// Restarts the process of @p daemon, which loses all its state.
    virtual void restart(std::size_t daemon, Time now) = 0;
};

/// Result of one simulation.
struct LimitOutcome
{
    /// The most units admitted in any window of 8 s, as a fraction of what the users' requirements tolerate: a tenth and 140,000
    /// units over the limit.
    double worstWindow = 0;
    /// Fraction of the units admitted by one central bucket that were not admitted here.
    double refusedBelow = 0;
};

/// Parameters of a simulation: three regions, @p daemons in total, a limit of @p perSecond tokens; requests are a mix of short
/// questions, long prompts and plain calls.
struct LimitPlay
{
    LimitEvent event = LimitEvent::Calm;
    unsigned daemons = 68;
    double perSecond = 1'000'000;
    std::uint64_t seed = 1;
    /// Whether long prompts are urgent; else all requests are usual.
    bool hasUrgent = false;
};

LimitOutcome play(const LimitPlay &scenario, LimitWay &way);

/// Aggregators of each region admit what the limit allows; see OrganisationLimits. With @p hasOldDaemons, daemons of odd numbers
/// neither send nor understand entries by urgency.
std::unique_ptr<LimitWay> gatheredLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed,
                                         bool hasOldDaemons = false);
/// Each daemon spends a share according to its own demand and that of all others; see ShareMover.
std::unique_ptr<LimitWay> sharesByDemand(unsigned daemons, const OrganisationLimit &limit);

} // namespace Portpaddle
