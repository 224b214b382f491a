// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/retry_fleet.h"

#include <algorithm>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr double ratio = 0.2;
constexpr std::chrono::milliseconds window{ 10'000 };
// Time on the list before a daemon gets a part of the fixed number: where retries spent before its start may count, and where
// they do not.
constexpr std::chrono::milliseconds settlingForWindow = window + 1s;
constexpr std::chrono::milliseconds settling{ 3'000 };
// From the arrival of a retry until its sender receives the answer of the upstream.
constexpr auto answerTime = 300ms;
constexpr auto step = 50ms;
// Interval at which daemons read the list.
constexpr auto listInterval = 200ms;
constexpr double swingSeconds = 5;
// Highest rate in requests per second at which at most one request comes in a step.
constexpr double maxInStep = 10;
// Time for which a registration stays at the store after its daemon is gone.
constexpr auto lease = 5s;
constexpr std::chrono::seconds longestCut{ 40 };
constexpr std::chrono::seconds longestHoldUp{ 8 };
constexpr double killedPart = 0.6;
// Least divisor where all known daemons divide the budget.
constexpr std::size_t minDaemons = 8;

std::size_t countFrom(const std::vector<SteadyTime> &times, SteadyTime from)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), from + window)
                                    - std::lower_bound(times.begin(), times.end(), from));
}

} // namespace

RetryFleet::RetryFleet(const RetryScenario &scenario, RetryWay way, std::uint64_t seed)
    : scenario_(scenario), way_(way), random_(seed)
{
    for (unsigned index = 0; index < scenario.daemons; ++index) {
        add();
    }
}

void RetryFleet::play(std::chrono::seconds length)
{
    for (const SteadyTime end = now_ + length; now_ < end; now_ += step) {
        playEvents();
        if (now_ >= beganAt_ + scenario_.calm) {
            strike();
        }
        if ((now_ - beganAt_) % listInterval == 0ms) {
            lookAtList();
        }
        for (Daemon &daemon : daemons_) {
            serve(daemon);
        }
    }
    std::sort(arrivals_.begin(), arrivals_.end());
}

double RetryFleet::worstExcess() const
{
    double worst = -scenario_.fixedNumber;
    for (const SteadyTime from : arrivals_) {
        const std::size_t requests = std::max(
            { countFrom(requests_, from), countFrom(requests_, from - window), countFrom(requests_, from - window / 2) });
        const double allowed = ratio * static_cast<double>(requests) + scenario_.fixedNumber;
        worst = std::max(worst, static_cast<double>(countFrom(arrivals_, from)) - allowed);
    }
    return worst;
}

std::size_t RetryFleet::repeats() const
{
    return arrivals_.size();
}

std::size_t RetryFleet::denied() const
{
    return denied_;
}

bool RetryFleet::happens(double perSecond)
{
    return random_.fraction() < perSecond * std::chrono::duration<double>(step).count();
}

double RetryFleet::secondsPlayed() const
{
    return std::chrono::duration<double>(now_ - beganAt_).count();
}

bool RetryFleet::isDue(const std::optional<double> &moment) const
{
    const double passed = secondsPlayed();
    return moment && *moment <= passed && passed < *moment + std::chrono::duration<double>(step).count();
}

double RetryFleet::rateOf(const Daemon &daemon) const
{
    const FleetEvents &events = scenario_.events;
    const double passed = secondsPlayed();
    double rate = scenario_.requestsPerSecond;
    if (static_cast<unsigned>(passed / swingSeconds) % 2 != 0) {
        rate *= scenario_.swing;
    }
    if (events.shift && passed >= *events.shift) {
        rate *= daemon.dataCentre < dataCentres / 2 ? 0 : 2;
    }
    if (events.wander && passed >= *events.wander) {
        // All callers use one tenth of the daemons, and another tenth every second.
        constexpr std::size_t groups = 10;
        rate *= daemon.index % groups == static_cast<std::size_t>(passed) % groups ? groups : 0;
    }
    return rate;
}

void RetryFleet::playEvents()
{
    if (isDue(scenario_.events.killAll)) {
        for (Daemon &daemon : daemons_) {
            start(daemon);
        }
    }
    if (isDue(scenario_.events.crash)) {
        for (Daemon &daemon : daemons_) {
            const double broken = rateOf(daemon) * scenario_.events.crashSpan / 2;
            for (double request = random_.fraction(); request < broken; ++request) {
                repeat(daemon);
            }
        }
    }
    const std::optional<double> &roll = scenario_.events.roll;
    while (roll && nextRolled_ < daemons_.size()
           && secondsPlayed() >= *roll + static_cast<double>(nextRolled_) * scenario_.events.rollGap) {
        start(daemons_[nextRolled_]);
        ++nextRolled_;
    }
}

SteadyTime::duration RetryFleet::randomTime(std::chrono::seconds longest)
{
    return std::chrono::duration_cast<SteadyTime::duration>(longest * random_.fraction());
}

void RetryFleet::add()
{
    Daemon &daemon = daemons_.emplace_back();
    daemon.index = daemons_.size() - 1;
    daemon.name = "d" + std::to_string(daemons_.size());
    daemon.dataCentre = static_cast<unsigned>(daemons_.size()) % dataCentres;
    daemon.fails = random_.fraction() < scenario_.failingPart;
    start(daemon);
}

/// Retries sent before the process ended still arrive.
void RetryFleet::start(Daemon &daemon)
{
    daemon.underWay.clear();
    daemon.list.clear();
    daemon.mostKnown = 0;
    daemon.members = std::make_unique<RetryMembers>(daemon.name);
    daemon.members->setSettling(way_ == RetryWay::SlidingWindow || way_ == RetryWay::LapsingCredit ? settlingForWindow
                                                                                                   : settling);
    daemon.account = makeRetryAccount(way_);
    daemon.rounding = random_.fraction();
}

void RetryFleet::strike()
{
    const FleetTroubles &troubles = scenario_.troubles;
    const bool all = happens(troubles.killAll);
    const bool some = happens(troubles.killSome);
    for (Daemon &daemon : daemons_) {
        if (all || (some && random_.fraction() < killedPart)) {
            start(daemon);
        }
        if (happens(troubles.cutFromStore)) {
            daemon.cutUntil = now_ + randomTime(longestCut);
        }
        if (happens(troubles.holdUp)) {
            daemon.heldUpUntil = std::max(daemon.heldUpUntil, now_ + randomTime(longestHoldUp));
        }
    }
    if (happens(troubles.join)) {
        add();
    }
}

void RetryFleet::lookAtList()
{
    std::array<std::set<std::string>, dataCentres> listed;
    std::size_t known = 0;
    for (Daemon &daemon : daemons_) {
        if (now_ >= daemon.cutUntil) {
            daemon.leased = now_ + lease;
        }
        if (daemon.leased > now_) {
            listed.at(daemon.dataCentre).insert(daemon.name);
            ++known;
        }
    }
    for (Daemon &daemon : daemons_) {
        const bool reachesStore = now_ >= daemon.cutUntil;
        if (reachesStore) {
            daemon.list = listed.at(daemon.dataCentre);
            daemon.mostKnown = std::max(daemon.mostKnown, known);
        }
        daemon.members->setListed(daemon.list, now_);
        if (reachesStore) {
            daemon.members->confirmList(now_);
        }
    }
}

double RetryFleet::fixedPartOf(const Daemon &daemon) const
{
    if (way_ == RetryWay::EvenFromStart) {
        return scenario_.fixedNumber / static_cast<double>(std::max(minDaemons, daemon.mostKnown + 1));
    }
    return daemon.members->maySpend(now_) ? scenario_.fixedNumber / dataCentres / daemon.members->count(now_) : 0;
}

void RetryFleet::serve(Daemon &daemon)
{
    while (!daemon.underWay.empty() && daemon.underWay.front() <= now_) {
        daemon.account->recordRetryArrival(daemon.underWay.front());
        daemon.underWay.pop_front();
    }
    daemon.account->setPart({ ratio, fixedPartOf(daemon), daemon.rounding, window }, now_);
    // Several requests come in one step at high rates.
    for (double rate = rateOf(daemon); rate > 0; rate -= maxInStep) {
        if (happens(std::min(rate, maxInStep))) {
            take(daemon);
        }
    }
}

void RetryFleet::take(Daemon &daemon)
{
    requests_.push_back(now_);
    daemon.account->recordFirstAttempt(now_);
    const bool failing = daemon.fails && now_ >= beganAt_ + scenario_.calm;
    for (unsigned sent = 1; failing && sent < scenario_.attempts; ++sent) {
        if (random_.fraction() >= scenario_.failingAttempts) {
            return;
        }
        if (!repeat(daemon)) {
            return;
        }
    }
}

bool RetryFleet::repeat(Daemon &daemon)
{
    if (!daemon.account->takeRetry(now_)) {
        ++denied_;
        return false;
    }
    const SteadyTime arrives = std::max(now_, daemon.heldUpUntil);
    daemon.underWay.push_back(arrives + answerTime);
    arrivals_.push_back(arrives);
    return true;
}

} // namespace Portpaddle
