// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The retry budget over a whole fleet in virtual time: daemons that are killed in series, cut off from the store, added, and
// repeats that arrive late. Arrivals are counted as the budget is: all of a service in any window, against the requests of that
// window, the one before it or the one half a window before it.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/retries/retry_members.h"
#include "portpaddle/retries/retry_slice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr double ratio = 0.2;
constexpr double extra = 162;
constexpr std::chrono::milliseconds window{ 10'000 };
constexpr std::chrono::milliseconds settling = window + 1s;
constexpr unsigned dataCentres = 6;
constexpr auto step = 50ms;
// Of a registration at the store, after its daemon has gone.
constexpr auto lease = 5s;
constexpr std::chrono::seconds longestCut{ 40 };
constexpr std::chrono::seconds longestHoldUp{ 8 };
const std::string service = "s";

/// What goes wrong, each a chance in a second.
struct Troubles
{
    double killAll = 0;
    double killSome = 0;
    double cutFromStore = 0;
    double holdUp = 0;
    double join = 0;
};

class VirtualFleet
{
public:
    VirtualFleet(unsigned daemons, double requestsPerSecond, Troubles troubles, std::uint64_t seed)
        : requestsPerSecond_(requestsPerSecond), troubles_(troubles), random_(seed)
    {
        for (unsigned index = 0; index < daemons; ++index) {
            add();
        }
    }

    void play(std::chrono::seconds length)
    {
        for (const SteadyTime end = now_ + length; now_ < end; now_ += step) {
            strike();
            lookAtList();
            for (Machine &machine : machines_) {
                serve(machine);
            }
        }
        std::sort(arrivals_.begin(), arrivals_.end());
    }

    /// Repeats in the worst window, less what is allowed there.
    double worstExcess() const
    {
        double worst = -extra;
        for (const SteadyTime from : arrivals_) {
            const double allowed = ratio
                    * static_cast<double>(std::max(
                        { count(requests_, from), count(requests_, from - window), count(requests_, from - window / 2) }))
                + extra;
            worst = std::max(worst, static_cast<double>(count(arrivals_, from)) - allowed);
        }
        return worst;
    }

    std::size_t repeats() const
    {
        return arrivals_.size();
    }

private:
    struct Machine
    {
        std::string name;
        unsigned dataCentre = 0;
        std::unique_ptr<RetryMembers> members;
        std::unique_ptr<RetrySlice> slice;
        double rounding = 0;
        /// When its repeats that are under way arrive.
        std::deque<SteadyTime> underWay;
        /// Its registration counts until then.
        SteadyTime leased{};
        SteadyTime cutUntil{};
        SteadyTime heldUpUntil{};
        /// What it last read.
        std::set<std::string> list;
    };

    static std::size_t count(const std::vector<SteadyTime> &times, SteadyTime from)
    {
        return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), from + window)
                                        - std::lower_bound(times.begin(), times.end(), from));
    }

    bool happens(double perSecond)
    {
        return random_.fraction() < perSecond * std::chrono::duration<double>(step).count();
    }

    SteadyTime::duration randomTime(std::chrono::seconds longest)
    {
        return std::chrono::duration_cast<SteadyTime::duration>(longest * random_.fraction());
    }

    void add()
    {
        Machine &machine = machines_.emplace_back();
        machine.name = "d" + std::to_string(machines_.size());
        machine.dataCentre = static_cast<unsigned>(machines_.size()) % dataCentres;
        start(machine);
    }

    void start(Machine &machine)
    {
        // What was sent before the process ended arrives all the same.
        machine.underWay.clear();
        machine.list.clear();
        machine.members = std::make_unique<RetryMembers>(machine.name);
        machine.members->setSettling(settling);
        machine.slice = std::make_unique<RetrySlice>();
        machine.rounding = random_.fraction();
    }

    void strike()
    {
        const bool all = happens(troubles_.killAll);
        const bool some = happens(troubles_.killSome);
        for (Machine &machine : machines_) {
            if (all || (some && random_.fraction() < 0.6)) {
                start(machine);
            }
            if (happens(troubles_.cutFromStore)) {
                machine.cutUntil = now_ + randomTime(longestCut);
            }
            if (happens(troubles_.holdUp)) {
                machine.heldUpUntil = std::max(machine.heldUpUntil, now_ + randomTime(longestHoldUp));
            }
        }
        if (happens(troubles_.join)) {
            add();
        }
    }

    void lookAtList()
    {
        std::array<std::set<std::string>, dataCentres> listed;
        for (Machine &machine : machines_) {
            if (now_ >= machine.cutUntil) {
                machine.leased = now_ + lease;
            }
            if (machine.leased > now_) {
                listed.at(machine.dataCentre).insert(machine.name);
            }
        }
        for (Machine &machine : machines_) {
            const bool reaches = now_ >= machine.cutUntil;
            if (reaches) {
                machine.list = listed.at(machine.dataCentre);
            }
            machine.members->setListed(machine.list, reaches, now_);
            const double part = extra / dataCentres / machine.members->count();
            const bool spends = machine.members->maySpend(now_);
            machine.slice->setTerms({ ratio, spends ? part : 0, spends ? 0 : machine.rounding, window });
        }
    }

    /// Each request fails, so that each repeat that is allowed is made.
    void serve(Machine &machine)
    {
        while (!machine.underWay.empty() && machine.underWay.front() <= now_) {
            machine.slice->repeatArrived(service, machine.underWay.front());
            machine.underWay.pop_front();
        }
        if (happens(requestsPerSecond_)) {
            requests_.push_back(now_);
            machine.slice->firstSent(service, now_);
        }
        while (machine.slice->takeRepeat(service, now_) != RetryPayment::Nobody) {
            const SteadyTime arrives = std::max(now_, machine.heldUpUntil);
            machine.underWay.push_back(arrives);
            arrivals_.push_back(arrives);
        }
    }

    SteadyTime now_{ 1h };
    double requestsPerSecond_;
    Troubles troubles_;
    SeededRandom random_;
    std::deque<Machine> machines_;
    std::vector<SteadyTime> requests_;
    std::vector<SteadyTime> arrivals_;
};

void keepsToBudget(const Troubles &troubles)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const double requestsPerSecond : { 0.1, 3.0 }) {
            VirtualFleet fleet(61, requestsPerSecond, troubles, seed);
            fleet.play(60s);
            CAPTURE(seed);
            CAPTURE(requestsPerSecond);
            CHECK(fleet.worstExcess() <= 0);
            CHECK(fleet.repeats() > 0);
        }
    }
}

} // namespace

TEST_CASE("Retry budget of a fleet, nothing wrong, is kept and for the most part used")
{
    VirtualFleet fleet(61, 0.1, {}, 1);
    fleet.play(60s);
    CHECK(fleet.worstExcess() <= 0);
    // A daemon makes whole repeats only: of parts of 2.5 to 2.7 it uses two.
    CHECK(fleet.worstExcess() >= -extra / 2);
}

TEST_CASE("Retry budget of a fleet, all daemons killed again and again, is kept")
{
    keepsToBudget({ .killAll = 0.4 });
}

TEST_CASE("Retry budget of a fleet, six in ten killed again and again, is kept")
{
    keepsToBudget({ .killSome = 0.5 });
}

TEST_CASE("Retry budget of a fleet, daemons killed at times, is kept")
{
    keepsToBudget({ .killAll = 0.04, .killSome = 0.05 });
}

TEST_CASE("Retry budget of a fleet, daemons cut off from the store while others are killed and added, is kept")
{
    keepsToBudget({ .killSome = 0.05, .cutFromStore = 0.02, .join = 0.1 });
}

TEST_CASE("Retry budget of a fleet, repeats that arrive seconds late, is kept")
{
    keepsToBudget({ .killSome = 0.05, .holdUp = 0.05 });
}
