// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Plays what is asked of many daemons for one organisation, in virtual time, against a way to keep its limit.
#pragma once

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/limits/organisations.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// What happens from second 10 on.
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
    /// Restarted or not running.
    bool alive = true;
    /// Nobody hears it and it hears nobody.
    bool partitioned = false;
};

/// A way to keep a limit over all daemons, with the delays of its news.
class LimitWay
{
public:
    using Time = SteadyTime;

    virtual ~LimitWay() = default;
    virtual bool admit(std::size_t daemon, double units, Time now) = 0;
    /// Called each 100 ms; daemons of other regions are heard unless @p regionCut is cut off.
    virtual void tick(const std::vector<ScenarioDaemon> &daemons, int regionCut, Time now) = 0;
    virtual void setLimit(const OrganisationLimit &limit, Time now) = 0;
    /// The process starts anew and knows nothing.
    virtual void restart(std::size_t daemon, Time now) = 0;
};

/// What came of one play.
struct LimitOutcome
{
    /// The most admitted in any window of 8 s, as a part of what the users' sheet bears: a tenth and 140,000 units over the
    /// limit.
    double worstWindow = 0;
    /// Of the units that one bucket which knows all would have admitted, the part that was not.
    double refusedBelow = 0;
};

/// Three regions, @p daemons over all, a limit of @p perSecond tokens; requests as in a mix of short questions, long prompts and
/// plain calls.
struct LimitPlay
{
    LimitEvent event = LimitEvent::Calm;
    unsigned daemons = 68;
    double perSecond = 1'000'000;
    std::uint64_t seed = 1;
};

LimitOutcome play(const LimitPlay &scenario, LimitWay &way);

/// Gatherers of each region let through what fits; see OrganisationLimits.
std::unique_ptr<LimitWay> gatheredLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed);
/// Each daemon spends a share by what is asked of it and of all others; see ShareMover.
std::unique_ptr<LimitWay> sharesByDemand(unsigned daemons, const OrganisationLimit &limit);

} // namespace Portpaddle
