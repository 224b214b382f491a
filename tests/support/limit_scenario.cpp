// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/limit_scenario.h"

#include "support/window_sums.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/limits/limiter.h"
#include "portpaddle/limits/organisation_limits.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

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
constexpr double longPrompt = 5'000;
// Shares by demand have no Retry-After of their own.
constexpr std::chrono::milliseconds retryInterval = 1s;

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
    return kind < 0.85 ? 800 + 1'700 * size : longPrompt + 8'000 * size;
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

class AggregatedLimits : public LimitWay
{
public:
    AggregatedLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed, bool hasOldDaemons)
        : random_(seed), hasOldDaemons_(hasOldDaemons)
    {
        alive_.resize(daemons, true);
        regions_ = std::min(regions, daemons);
        setLimit(limit, Time{ 1s });
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            daemons_.emplace_back();
            restart(daemon, Time{ 1s });
        }
    }

    bool admit(std::size_t daemon, double units, Time now) override
    {
        return !ask(daemon, { .units = units }, now).has_value();
    }

    std::optional<std::chrono::milliseconds> ask(std::size_t daemon, const LimitAsk &ask, Time now) override
    {
        return daemons_[daemon]->admit(organisation_, ask, now, random_);
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
        const auto isAggregator = [this, daemon](std::uint32_t, SteadyTime) { return aggregatorOf(daemon % regions_) == daemon; };
        const auto isSilent = [this](const std::string &name, SteadyTime) { return silent_.contains(name); };
        daemons_[daemon]
            = std::make_unique<OrganisationLimits>(std::to_string(daemon), regionName(daemon % regions_), isAggregator, isSilent);
        daemons_[daemon]->setTolerance({ overshoot, slack, window });
        std::set<std::string> names;
        for (unsigned region = 0; region < regions_; ++region) {
            names.insert(regionName(region));
        }
        daemons_[daemon]->setFleet(std::move(names), static_cast<unsigned>(alive_.size()));
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
            if (alive_[daemon] && aggregatorOf(daemon % regions_) != daemon) {
                LimitDigest digest;
                digest.counts = daemons_[daemon]->counts(all, now);
                digest.urgencyCounts = daemons_[daemon]->urgencyCounts(all, now);
                send(reports_, daemon, daemon, std::move(digest));
            }
        }
        for (unsigned region = 0; region < regions_; ++region) {
            OrganisationLimits &aggregator = *daemons_[aggregatorOf(region)];
            LimitDigest digest;
            digest.grants = aggregator.grants(all, now);
            digest.urgencyGrants = aggregator.urgencyGrants(all, now);
            send(grants_, aggregatorOf(region), region, std::move(digest));
            if (ticks_ % 4 == region) {
                LimitDigest demand;
                demand.demands = aggregator.demands(all, now);
                demand.urgencyDemands = aggregator.urgencyDemands(all);
                send(demands_, aggregatorOf(region), region, std::move(demand));
            }
        }
        ++ticks_;
    }

private:
    struct Message
    {
        std::size_t from = 0;
        LimitDigest digest;
    };

    bool isOld(std::size_t daemon) const
    {
        return hasOldDaemons_ && daemon % 2 == 1;
    }

    /// Sends what @p daemon reports, on behalf of itself or its region.
    void send(std::vector<Message> &messages, std::size_t daemon, std::size_t from, LimitDigest digest) const
    {
        if (isOld(daemon)) {
            digest = { digest.counts, digest.grants, digest.demands, {}, {}, {} };
        }
        messages.push_back({ from, std::move(digest) });
    }

    std::size_t aggregatorOf(std::size_t region) const
    {
        for (std::size_t daemon = region; daemon < alive_.size(); daemon += regions_) {
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
            daemons_[aggregatorOf(report.from % regions_)]->takeCounts(std::to_string(report.from), report.digest.counts, now,
                                                                       report.digest.urgencyCounts);
        }
        for (const auto &grant : grants_) {
            for (std::size_t daemon = grant.from; daemon < daemons_.size(); daemon += regions_) {
                if (alive_[daemon] && daemon != aggregatorOf(grant.from)) {
                    const LimitDigest &digest = grant.digest;
                    daemons_[daemon]->takeGrants(digest.grants, now,
                                                 isOld(daemon) ? std::vector<Wire::LimitUrgencyGrant>{} : digest.urgencyGrants);
                }
            }
        }
        for (const auto &demand : demands_) {
            for (unsigned region = 0; region < regions_; ++region) {
                const bool cut = static_cast<int>(region) == regionCut || static_cast<int>(demand.from) == regionCut;
                if (region != demand.from && !cut) {
                    const std::size_t to = aggregatorOf(region);
                    const LimitDigest &digest = demand.digest;
                    daemons_[to]->takeDemands(regionName(static_cast<unsigned>(demand.from)), digest.demands, now,
                                              isOld(to) ? std::vector<Wire::LimitUrgencyDemand>{} : digest.urgencyDemands);
                }
            }
        }
        reports_.clear();
        grants_.clear();
        demands_.clear();
    }

    SeededRandom random_;
    bool hasOldDaemons_ = false;
    Organisation organisation_;
    OrganisationTable organisationTable_;
    std::vector<std::unique_ptr<OrganisationLimits>> daemons_;
    std::vector<bool> alive_;
    unsigned regions_ = 0;
    std::set<std::string> silent_;
    std::vector<Message> reports_;
    std::vector<Message> grants_;
    std::vector<Message> demands_;
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

    std::optional<std::chrono::milliseconds> ask(std::size_t daemon, const LimitAsk &ask, Time now) override
    {
        return admit(daemon, ask.units, now) ? std::nullopt : std::optional(retryInterval);
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
                const Urgency urgency = scenario.hasUrgent && units >= longPrompt ? Urgency::Urgent : Urgency::Usual;
                if (!way.ask(daemon, { .units = units, .urgency = urgency }, now)) {
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

std::unique_ptr<LimitWay> gatheredLimits(unsigned daemons, const OrganisationLimit &limit, std::uint64_t seed, bool hasOldDaemons)
{
    return std::make_unique<AggregatedLimits>(daemons, limit, seed, hasOldDaemons);
}

std::unique_ptr<LimitWay> sharesByDemand(unsigned daemons, const OrganisationLimit &limit)
{
    return std::make_unique<SharesByDemand>(daemons, limit);
}

} // namespace Portpaddle
