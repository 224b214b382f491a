// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time the rollout of a version by the daemons of several regions. The store, the datagrams and the
/// upstreams are models; what the daemons count, report and decide is the product's code.
#pragma once

#include "portpaddle/base/system_clock.h"
#include "portpaddle/rollouts/rollout_coordinator.h"
#include "portpaddle/store_following/fleet_view.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

/// What is wrong with the new version.
struct VersionFault
{
    /// Share of the answers that are affected.
    double share = 0;
    /// The affected answers are failures; otherwise they are slower by the factor.
    bool fails = true;
    double slowness = 4;
    /// When the fault begins, counted from the order.
    std::chrono::milliseconds from{ 0 };
    /// The fault affects only the second route, a tenth of the requests.
    bool onSecondRouteOnly = false;
};

/// Parameters of a simulation.
struct RolloutScenario
{
    unsigned daemons = 8;
    double requestsPerSecond = 800;
    Millis duration{ 30'000 };
    VersionFault fault{};
    /// Share of failures among the answers of all versions.
    double usualFailures = 0.01;
    /// The store is away from this time after the order, for this long.
    Millis outageFrom{ 0 };
    Millis outage{ 0 };
    /// The first controller ends at this time after the order; zero for never.
    Millis controllerEndsAt{ 0 };
};

class RolloutFleet
{
public:
    RolloutFleet(const RolloutScenario &scenario, std::uint64_t seed);
    ~RolloutFleet();

    /// Gives the order and plays until the end of its duration.
    void play();

    RolloutStage stage() const;
    /// Returns the requests that reached the service since the order, and those of them that reached the new version.
    std::size_t arrivals() const;
    std::size_t newerArrivals() const;
    /// Returns the requests that reached the new version later than five seconds after its fiftieth bad answer.
    std::size_t lateArrivals() const;
    /// Returns the requests that older versions were running when the rollout completed.
    std::size_t cutOff() const;
    /// Returns the requests that daemons without the store sent to the new version, later than a second after they had lost it.
    std::size_t sentWithoutStore() const;

private:
    struct Daemon;

    void at(SteadyTime time, std::function<void()> work);
    SteadyTime::duration randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most);
    bool storeIsAway() const;
    void write(const RolloutRecord &record, std::uint64_t expectedRevision);
    void publish();
    void request();
    void answer(Daemon &daemon, const RolloutTicket &ticket, const AnswerSample &sample, bool newer, bool bad);
    void exchangeDigests();
    void endController();

    RolloutScenario scenario_;
    SeededRandom random_;
    SteadyTime now_{ std::chrono::hours(1) };
    SteadyTime orderedAt_{ now_ };
    std::multimap<SteadyTime, std::function<void()>> events_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    Rollout stored_;
    std::uint64_t revision_ = 10;
    bool wasAway_ = false;
    std::size_t runningOlder_ = 0;
    std::size_t arrivals_ = 0;
    std::size_t newerArrivals_ = 0;
    std::size_t badAnswers_ = 0;
    std::optional<SteadyTime> knownBadAt_;
    std::size_t lateArrivals_ = 0;
    std::size_t cutOff_ = 0;
    std::size_t sentWithoutStore_ = 0;
};

} // namespace Portpaddle
