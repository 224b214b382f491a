// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/limit_scenario.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/limiter.h"
#include "portpaddle/limits/organisation_limits.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;
using Time = LimitWay::Time;

constexpr unsigned regions = 3;
constexpr double usualPart = 0.55;
constexpr double hotFactor = 7.5;
constexpr int noRegion = -1;
constexpr NameTable<LimitEvent, 10> eventNames{ { "calm", "hot", "shift", "hot, region cut", "herd killed", "lowered",
                                                  "hot, daemons cut", "hot and moved", "killed in series", "gatherers killed" } };
constexpr auto killInterval = 1'500ms;
constexpr auto downTime = 1'400ms;
// Tolerance that the users' requirements state.
constexpr double overshoot = 0.1;
constexpr double slack = 140'000;
constexpr auto window = 8s;

std::string regionName(unsigned region)
{
    return fmt::format("region-{}", region);
}

/// Draws the tokens of a request: a fifth are plain calls, most short questions, the rest long prompts of varied lengths.
double drawUnits(RandomSource &random)
{
    const double kind = random.fraction();
    const double size = -std::log(1 - random.fraction());
    if (kind < 0.22) {
        return 200;
    }
    return kind < 0.85 ? 800 + 1'700 * size : 5'000 + 8'000 * size;
}

constexpr double meanUnits = 0.22 * 200 + 0.63 * 2'500 + 0.15 * 13'000;

/// A central token bucket that sees all requests at once.
struct CentralBucket
{
    double level = 0;
    Time at{};

    bool take(const OrganisationLimit &limit, double units, Time now)
    {
        const double seconds = std::chrono::duration<double>(now - at).count();
        level = std::min(limit.burst, level + limit.perSecond * seconds);
        at = now;
        if (level < 0) {
            return false;
        }
        level -= units;
        return true;
    }
};

/// Sums admitted units over sliding windows, in steps of 100 ms.
class WindowSums
{
public:
    void add(double units)
    {
        current_ += units;
    }

    void step()
    {
        steps_.push_back(current_);
        sum_ += current_;
        current_ = 0;
        if (steps_.size() > static_cast<std::size_t>(window / 100ms)) {
            sum_ -= steps_.front();
            steps_.pop_front();
        }
    }

    double sum() const
    {
        return sum_;
    }

private:
    std::deque<double> steps_;
    double current_ = 0;
    double sum_ = 0;
};

class AggregatedLimits : public LimitWay
{
public:
    AggregatedLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed) : random_(seed)
    {
        alive_.resize(daemons, true);
        setLimit(limit, Time{ 1s });
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            daemons_.emplace_back();
            restart(daemon, Time{ 1s });
        }
    }

    bool admit(std::size_t daemon, double units, Time now) override
    {
        return !daemons_[daemon]->admit(organisation_, units, now, random_).has_value();
    }

    void setLimit(const OrganisationLimit &limit, Time now) override
    {
        organisation_.name = "shop";
        organisation_.limit = limit;
        organisationTable_ = OrganisationTable{};
        organisationTable_.add(organisation_, {});
        for (auto &daemon : daemons_) {
            daemon->setOrganisations(organisationTable_, now);
        }
    }

    void restart(std::size_t daemon, Time now) override
    {
        const auto isAggregator = [this, daemon](std::uint32_t, SteadyTime) { return aggregatorOf(daemon % regions) == daemon; };
        const auto isSilent = [this](const std::string &name, SteadyTime) { return silent_.contains(name); };
        daemons_[daemon]
            = std::make_unique<OrganisationLimits>(std::to_string(daemon), regionName(daemon % regions), isAggregator, isSilent);
        daemons_[daemon]->setTolerance({ overshoot, slack, window });
        daemons_[daemon]->setFleet({ regionName(0), regionName(1), regionName(2) }, static_cast<unsigned>(alive_.size()));
        daemons_[daemon]->setOrganisations(organisationTable_, now);
    }

    void tick(const std::vector<ScenarioDaemon> &daemons, int regionCut, Time now) override
    {
        silent_.clear();
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            alive_[daemon] = daemons[daemon].alive && !daemons[daemon].partitioned;
            if (!alive_[daemon]) {
                silent_.insert(std::to_string(daemon));
            }
        }
        deliver(now, regionCut);
        const auto all = [](std::uint32_t) { return true; };
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            if (alive_[daemon] && aggregatorOf(daemon % regions) != daemon) {
                reports_.push_back({ daemon, daemons_[daemon]->counts(all, now) });
            }
        }
        for (unsigned region = 0; region < regions; ++region) {
            OrganisationLimits &aggregator = *daemons_[aggregatorOf(region)];
            grants_.push_back({ region, aggregator.grants(all, now) });
            if (ticks_ % 4 == region) {
                demands_.push_back({ region, aggregator.demands(all, now) });
            }
        }
        ++ticks_;
    }

private:
    template<typename Entry>
    struct Message
    {
        std::size_t from = 0;
        std::vector<Entry> entries;
    };

    std::size_t aggregatorOf(std::size_t region) const
    {
        for (std::size_t daemon = region; daemon < alive_.size(); daemon += regions) {
            if (alive_[daemon]) {
                return daemon;
            }
        }
        return region;
    }

    /// Delivers the messages sent in the previous tick.
    void deliver(Time now, int regionCut)
    {
        for (const auto &report : reports_) {
            daemons_[aggregatorOf(report.from % regions)]->takeCounts(std::to_string(report.from), report.entries, now);
        }
        for (const auto &grant : grants_) {
            for (std::size_t daemon = grant.from; daemon < daemons_.size(); daemon += regions) {
                if (alive_[daemon] && daemon != aggregatorOf(grant.from)) {
                    daemons_[daemon]->takeGrants(grant.entries, now);
                }
            }
        }
        for (const auto &demand : demands_) {
            for (unsigned region = 0; region < regions; ++region) {
                const bool cut = static_cast<int>(region) == regionCut || static_cast<int>(demand.from) == regionCut;
                if (region != demand.from && !cut) {
                    daemons_[aggregatorOf(region)]->takeDemands(regionName(static_cast<unsigned>(demand.from)), demand.entries,
                                                                now);
                }
            }
        }
        reports_.clear();
        grants_.clear();
        demands_.clear();
    }

    SeededRandom random_;
    Organisation organisation_;
    OrganisationTable organisationTable_;
    std::vector<std::unique_ptr<OrganisationLimits>> daemons_;
    std::vector<bool> alive_;
    std::set<std::string> silent_;
    std::vector<Message<Wire::LimitCount>> reports_;
    std::vector<Message<Wire::LimitGrant>> grants_;
    std::vector<Message<Wire::LimitDemand>> demands_;
    unsigned ticks_ = 0;
};

/// Shares count requests; tokens are bounded by the same share.
class SharesByDemand : public LimitWay
{
public:
    SharesByDemand(unsigned daemons, const OrganisationLimit &limit)
    {
        setLimit(limit, Time{});
        for (unsigned daemon = 0; daemon < daemons; ++daemon) {
            limiters_.push_back(std::make_unique<Limiter>());
            limiters_.back()->update({}, daemons, false, Millis{ 0 });
        }
    }

    bool admit(std::size_t daemon, double units, Time now) override
    {
        return isOk(limiters_[daemon]->admit("shop", policy_, units, millis(now)));
    }

    void setLimit(const OrganisationLimit &limit, Time) override
    {
        policy_.maxTokensPerSecond = limit.perSecond;
    }

    void restart(std::size_t daemon, Time now) override
    {
        limiters_[daemon] = std::make_unique<Limiter>();
        limiters_[daemon]->update({}, static_cast<unsigned>(limiters_.size()), false, millis(now));
    }

    void tick(const std::vector<ScenarioDaemon> &daemons, int regionCut, Time now) override
    {
        if (++ticks_ % 10 != 0) {
            return;
        }
        std::vector<double> demand(daemons.size(), 0);
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            for (const OwnDemand &own : limiters_[daemon]->demand(millis(now))) {
                demand[daemon] += own.requestsPerSecond;
            }
        }
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            double others = 0;
            for (std::size_t other = 0; other < daemons.size(); ++other) {
                const bool across = daemons[other].region != daemons[daemon].region
                    && (static_cast<int>(daemons[other].region) == regionCut
                        || static_cast<int>(daemons[daemon].region) == regionCut);
                if (other != daemon && !across && daemons[other].alive && !daemons[other].partitioned) {
                    others += demand[other];
                }
            }
            const bool partitioned = daemons[daemon].partitioned || regionCut != noRegion;
            if (!daemons[daemon].partitioned) {
                limiters_[daemon]->update({ { "shop", others } }, static_cast<unsigned>(daemons.size()), partitioned,
                                          millis(now));
            }
        }
    }

private:
    static Millis millis(Time now)
    {
        return std::chrono::duration_cast<Millis>(now.time_since_epoch());
    }

    RequestPolicy policy_;
    std::vector<std::unique_ptr<Limiter>> limiters_;
    unsigned ticks_ = 0;
};

/// Returns the demand on @p region as a multiple of an even third of the usual demand.
double demandFactor(const LimitPlay &scenario, unsigned region, std::chrono::milliseconds at)
{
    const bool hot = scenario.event == LimitEvent::Hot || scenario.event == LimitEvent::HotAndRegionCut
        || scenario.event == LimitEvent::HotAndDaemonsCut || scenario.event == LimitEvent::KilledInSeries
        || scenario.event == LimitEvent::GatherersKilled;
    if (at < 10s || at >= 17s) {
        return 1;
    }
    if (hot) {
        return hotFactor;
    }
    if (scenario.event == LimitEvent::HotAndMoved) {
        // All callers are in one region and move to the next one every two seconds.
        constexpr auto stay = 2s;
        return region == static_cast<unsigned>(at / stay) % regions ? hotFactor : 0;
    }
    if (scenario.event == LimitEvent::Shift) {
        return region == 0 ? 0.5 : region == 1 ? 1.5 : 1;
    }
    return 1;
}

/// Applies the failures that are due at @p at to the daemons.
void applyFailures(const LimitPlay &scenario, std::vector<ScenarioDaemon> &daemons, LimitWay &way, std::chrono::milliseconds at,
                   Time now)
{
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
        const bool affected = daemon % 2 == 1;
        if (scenario.event == LimitEvent::HerdKilled && affected && at == 10s) {
            daemons[daemon].alive = false;
        }
        if (scenario.event == LimitEvent::HerdKilled && affected && at == 12s) {
            daemons[daemon].alive = true;
            way.restart(daemon, now);
        }
        if (scenario.event == LimitEvent::KilledInSeries && at >= 10s && at < 17s && at % killInterval == 0s) {
            way.restart(daemon, now);
        }
        if (scenario.event == LimitEvent::GatherersKilled) {
            // Kills the first daemons of all regions, then their successors.
            const auto killedAt = 10s + (daemon / regions) * killInterval;
            daemons[daemon].alive = killedAt >= 16s || at < killedAt || at >= killedAt + downTime;
            if (killedAt < 16s && at == killedAt + downTime) {
                way.restart(daemon, now);
            }
        }
        if (scenario.event == LimitEvent::HotAndDaemonsCut && daemon % 6 == 4) {
            daemons[daemon].partitioned = at >= 9s && at < 15s;
        }
    }
}

} // namespace

std::string_view nameOf(LimitEvent event)
{
    return eventNames[event];
}

LimitOutcome play(const LimitPlay &scenario, LimitWay &way)
{
    SeededRandom random(scenario.seed);
    OrganisationLimit limit{ LimitUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 };
    OrganisationLimit lowered = limit;
    lowered.perSecond = lowered.burst = 0.2 * scenario.perSecond;
    std::vector<ScenarioDaemon> daemons(scenario.daemons);
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
        daemons[daemon].region = static_cast<unsigned>(daemon % regions);
    }
    const Time start{ 1s };
    CentralBucket central{ limit.burst, start };
    WindowSums admitted;
    LimitOutcome outcome;
    double allAdmitted = 0;
    double centralAdmitted = 0;
    bool isLow = false;
    for (std::chrono::milliseconds at{ 0 }; at < 24s; at += 10ms) {
        const Time now = start + at;
        if (at % 100ms == 0ms) {
            applyFailures(scenario, daemons, way, at, now);
            const bool cut = scenario.event == LimitEvent::HotAndRegionCut && at >= 9s && at < 15s;
            way.tick(daemons, cut ? 1 : noRegion, now);
            admitted.step();
        }
        if (scenario.event == LimitEvent::Lowered && at == 10s) {
            isLow = true;
            way.setLimit(lowered, now);
        }
        const OrganisationLimit &currentLimit = isLow ? lowered : limit;
        for (unsigned region = 0; region < regions; ++region) {
            const double perStep
                = demandFactor(scenario, region, at) * usualPart * scenario.perSecond / regions / meanUnits / 100;
            auto count = static_cast<unsigned>(perStep);
            count += random.fraction() < perStep - count ? 1 : 0;
            for (; count > 0; --count) {
                std::size_t daemon = region;
                do {
                    daemon = random.below((scenario.daemons - region + regions - 1) / regions) * regions + region;
                } while (!daemons[daemon].alive);
                const double units = drawUnits(random);
                // The first seconds are a warm-up in which daemons learn each other's demand.
                const bool counts = at >= 3s;
                centralAdmitted += central.take(currentLimit, units, now) && counts ? units : 0;
                if (way.admit(daemon, units, now)) {
                    admitted.add(units);
                    allAdmitted += counts ? units : 0;
                }
            }
        }
        // A lowered limit is checked from one window after all daemons know it.
        const bool settled = scenario.event != LimitEvent::Lowered || at < 10s || at >= 18s;
        const double tolerated = (8 * currentLimit.perSecond + currentLimit.burst) * (1 + overshoot) + slack;
        outcome.worstWindow = settled ? std::max(outcome.worstWindow, admitted.sum() / tolerated) : outcome.worstWindow;
    }
    outcome.refusedBelow = std::max(0.0, 1 - allAdmitted / centralAdmitted);
    return outcome;
}

std::unique_ptr<LimitWay> gatheredLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed)
{
    return std::make_unique<AggregatedLimits>(daemons, limit, seed);
}

std::unique_ptr<LimitWay> sharesByDemand(unsigned daemons, const OrganisationLimit &limit)
{
    return std::make_unique<SharesByDemand>(daemons, limit);
}

} // namespace Portpaddle
