// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time a fleet whose daemons spend one retry budget: daemons are killed in series, cut off from the store,
/// joined by others or left by their callers, and retries arrive late. Arrivals are counted over the window of the budget.
#pragma once

#include "portpaddle/base/system_clock.h"
#include "portpaddle/retries/retry_members.h"
#include "support/retry_ways.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Portpaddle {

/// Injected failures; each value is a probability per second.
struct FleetTroubles
{
    double killAll = 0;
    double killSome = 0;
    double cutFromStore = 0;
    double holdUp = 0;
    double join = 0;
};

/// Single events, in seconds from the beginning; an event without a value never occurs.
struct FleetEvents
{
    std::optional<double> killAll{};
    /// Upstreams crash: half of the requests of the last @ref crashSpan seconds fail at once.
    std::optional<double> crash{};
    double crashSpan = 3;
    /// Rolling restart: one daemon after the other restarts from then on, one every @ref rollGap seconds.
    std::optional<double> roll{};
    double rollGap = 0.2;
    /// Callers of the first half of the data centres move to the other half.
    std::optional<double> shift{};
    /// Callers of each daemon move to the next one every second from then on.
    std::optional<double> wander{};
};

/// Parameters of a simulation.
struct RetryScenario
{
    unsigned daemons = 61;
    /// Retries allowed in a window independently of the number of requests.
    double fixedNumber = 162;
    /// Requests per second of callers at each daemon.
    double requestsPerSecond = 1;
    /// The request rate alternates every five seconds between requestsPerSecond and this multiple of it.
    double swing = 1;
    /// Initial time without failed requests and injected failures.
    std::chrono::seconds calm{ 0 };
    /// Fraction of the daemons at which requests fail; at the others none fails.
    double failingPart = 1;
    /// Fraction of the attempts that fail at those daemons.
    double failingAttempts = 1;
    /// The most attempts for a request that fails.
    unsigned attempts = 2;
    FleetTroubles troubles{};
    FleetEvents events{};
};

class RetryFleet
{
public:
    RetryFleet(const RetryScenario &scenario, RetryWay way, std::uint64_t seed);

    void play(std::chrono::seconds length);
    /// Returns the retries in the worst window minus those allowed: the fixed number plus a ratio of the requests of that window,
    /// of the one before it or of the one half a window before it, whichever has the most requests.
    double worstExcess() const;
    std::size_t repeats() const;
    /// Returns the number of retries denied because the budget was used up.
    std::size_t denied() const;

private:
    static constexpr unsigned dataCentres = 6;

    struct Daemon
    {
        std::string name;
        unsigned dataCentre = 0;
        std::size_t index = 0;
        bool fails = false;
        std::unique_ptr<RetryMembers> members;
        std::unique_ptr<RetryAccount> account;
        double rounding = 0;
        /// When the arrival of each retry in progress becomes known to the daemon.
        std::deque<SteadyTime> underWay;
        /// When the registration of the daemon expires.
        SteadyTime leased{};
        SteadyTime cutUntil{};
        SteadyTime heldUpUntil{};
        /// The list of its data centre as last read, and the most daemons seen over all data centres.
        std::set<std::string> list;
        std::size_t mostKnown = 0;
    };

    bool happens(double perSecond);
    /// Returns whether an event that is set for @p moment occurs in this step.
    bool isDue(const std::optional<double> &moment) const;
    double secondsPlayed() const;
    /// Returns the requests per second that callers send to @p daemon now.
    double rateOf(const Daemon &daemon) const;
    /// Carries out the events that are due in this step.
    void playEvents();
    SteadyTime::duration randomTime(std::chrono::seconds longest);
    void add();
    void start(Daemon &daemon);
    void strike();
    void lookAtList();
    double fixedPartOf(const Daemon &daemon) const;
    void serve(Daemon &daemon);
    /// Handles one request of a caller and its retries.
    void take(Daemon &daemon);
    /// Sends a retry; returns false where the budget denies it.
    bool repeat(Daemon &daemon);

    RetryScenario scenario_;
    RetryWay way_;
    SeededRandom random_;
    SteadyTime beganAt_{ std::chrono::hours(1) };
    SteadyTime now_ = beganAt_;
    /// Index of the daemon that the rolling restart restarts next.
    std::size_t nextRolled_ = 0;
    std::deque<Daemon> daemons_;
    std::vector<SteadyTime> requests_;
    std::vector<SteadyTime> arrivals_;
    std::size_t denied_ = 0;
};

} // namespace Portpaddle
