// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/urgency_scenario.h"

#include "support/window_sums.h"

#include "portpaddle/base/system_clock.h"

#include <algorithm>
#include <array>
#include <map>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr double cheapPart = 0.2;
constexpr double cheapUnits = 200;
constexpr double usualUnits = 2'400;
constexpr double urgentUnits = 12'000;
constexpr auto exceededFrom = 5s;
constexpr auto exceededUntil = 15s;
constexpr auto end = 19s;
constexpr auto step = 10ms;
// Demand before and after the limit is exceeded, as a fraction of the limit.
constexpr double calmFactor = 0.5;
// The demand moves to the next region at this interval.
constexpr auto shiftInterval = 3s;
constexpr std::array<double, 3> weights{ 0.5, 0.3, 0.2 };
// Longest time that callers wait, by kind.
constexpr auto urgentPatience = 20s;
constexpr auto otherPatience = 30s;

struct Request
{
    LimitAsk ask;
    unsigned region = 0;
    SteadyTime deadline{};
    std::uint64_t idHash = 0;
    bool inTime = false;
    bool returns = false;
    bool toldTime = false;
};

double meanUnits(double urgentPart)
{
    return urgentPart * urgentUnits + cheapPart * cheapUnits + (1 - urgentPart - cheapPart) * usualUnits;
}

/// Demand and admitted units of one class.
struct Tally
{
    double asked = 0;
    double admitted = 0;

    double part() const
    {
        return asked > 0 ? admitted / asked : 1;
    }
};

class Simulation
{
public:
    explicit Simulation(const UrgencyPlay &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
        , regions_(std::min<unsigned>(weights.size(), scenario.daemons))
        , limit_{ LimitUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 }
        , way_(gatheredLimits(scenario.daemons, limit_, scenario.seed, scenario.hasOldDaemons))
    {
        for (unsigned daemon = 0; daemon < scenario.daemons; ++daemon) {
            daemons_.push_back({ .region = daemon % regions_ });
        }
    }

    UrgencyOutcome run()
    {
        for (at_ = 0ms; at_ < end; at_ += step) {
            if (at_ % 100ms == 0ms) {
                way_->tick(daemons_, -1, now());
                admitted_.step();
                outcome_.worstWindow = std::max(outcome_.worstWindow, admitted_.sum() / tolerated());
            }
            sendReturning();
            for (unsigned region = 0; region < regions_; ++region) {
                sendNew(region);
            }
        }
        return summary();
    }

private:
    SteadyTime now() const
    {
        return SteadyTime{ 1s } + at_;
    }

    bool isExceeded() const
    {
        return at_ >= exceededFrom && at_ < exceededUntil;
    }

    double tolerated() const
    {
        constexpr double overshoot = 1.1;
        constexpr double slack = 140'000;
        return (8 * limit_.perSecond + limit_.burst) * overshoot + slack;
    }

    double weight(unsigned region, unsigned offset) const
    {
        const auto shift = static_cast<unsigned>(at_ / shiftInterval) + offset;
        return regions_ == 1 ? 1 : weights.at((region + shift) % regions_) * (regions_ == 2 ? 1.25 : 1);
    }

    /// Urgent requests come to other regions than most of the others.
    void sendNew(unsigned region)
    {
        const double factor = isExceeded() ? scenario_.factor : calmFactor;
        const double requests
            = factor * limit_.perSecond / meanUnits(scenario_.urgentPart) * std::chrono::duration<double>(step).count();
        sendMany(requests * scenario_.urgentPart * weight(region, 1), region, Urgency::Urgent, urgentUnits);
        sendMany(requests * cheapPart * weight(region, 0), region, Urgency::Usual, cheapUnits);
        const double others = requests * (1 - scenario_.urgentPart - cheapPart) * weight(region, 0);
        sendMany(others * (1 - scenario_.patientPart), region, Urgency::Usual, usualUnits);
        sendMany(others * scenario_.patientPart, region, Urgency::Patient, usualUnits);
    }

    void sendMany(double count, unsigned region, Urgency urgency, double units)
    {
        auto whole = static_cast<unsigned>(count);
        whole += random_.fraction() < count - whole ? 1 : 0;
        for (; whole > 0; --whole) {
            Request request{ { .units = units, .urgency = urgency } };
            request.region = region;
            request.deadline = now() + (urgency == Urgency::Urgent ? urgentPatience : otherPatience);
            request.idHash = random_.next();
            request.inTime = isExceeded();
            send(request);
        }
    }

    void sendReturning()
    {
        while (!returning_.empty() && returning_.begin()->first <= now()) {
            Request request = returning_.begin()->second;
            returning_.erase(returning_.begin());
            if (request.toldTime) {
                ++returns_[at_ / 100ms];
            }
            send(request);
        }
    }

    void send(Request &request)
    {
        request.ask.chance
            = admissionChance(request.idHash, std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()));
        request.ask.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now());
        const unsigned inRegion = (scenario_.daemons - request.region + regions_ - 1) / regions_;
        const auto daemon = static_cast<std::size_t>(random_.below(inRegion)) * regions_ + request.region;
        const std::optional<std::chrono::milliseconds> back = way_->ask(daemon, request.ask, now());
        if (!back) {
            admitted_.add(request.ask.units);
            admittedUnits_ += isExceeded() ? request.ask.units : 0;
        }
        note(request, !back);
        if (back && !request.returns) {
            request.returns = true;
            request.toldTime = *back < request.ask.timeLeft;
            outcome_.refused += 1;
            outcome_.toldTime += request.toldTime ? 1 : 0;
            if (scenario_.callersReturn) {
                returning_.emplace(now() + std::min(*back, request.ask.timeLeft / 3), request);
            }
        }
    }

    void note(const Request &request, bool admitted)
    {
        if (request.returns) {
            outcome_.admittedOnReturn += request.toldTime && admitted ? 1 : 0;
            return;
        }
        if (!request.inTime) {
            return;
        }
        Tally &tally = request.ask.units == cheapUnits ? cheap_ : byUrgency_.at(static_cast<std::size_t>(request.ask.urgency));
        tally.asked += request.ask.units;
        tally.admitted += admitted ? request.ask.units : 0;
    }

    UrgencyOutcome summary()
    {
        const double whole = limit_.perSecond * inSeconds(exceededUntil - exceededFrom);
        outcome_.urgentDemand = byUrgency_[0].asked / whole;
        outcome_.urgentAdmitted = byUrgency_[0].part();
        outcome_.usualAdmitted = byUrgency_[1].part();
        outcome_.patientAdmitted = byUrgency_[2].part();
        outcome_.cheapAdmitted = cheap_.part();
        outcome_.used = admittedUnits_ / whole;
        for (const auto &[slot, count] : returns_) {
            outcome_.largestReturn = std::max(outcome_.largestReturn, static_cast<double>(count) / outcome_.toldTime);
        }
        return outcome_;
    }

    UrgencyPlay scenario_;
    SeededRandom random_;
    unsigned regions_ = 1;
    OrganisationLimit limit_;
    std::unique_ptr<LimitWay> way_;
    std::vector<ScenarioDaemon> daemons_;
    std::chrono::milliseconds at_{ 0 };
    WindowSums admitted_;
    double admittedUnits_ = 0;
    Tally cheap_;
    std::array<Tally, urgencyCount> byUrgency_;
    std::multimap<SteadyTime, Request> returning_;
    std::map<std::int64_t, unsigned> returns_;
    UrgencyOutcome outcome_;
};

} // namespace

UrgencyOutcome play(const UrgencyPlay &scenario)
{
    return Simulation(scenario).run();
}

double urgentPartFor(double part, double factor)
{
    // Solves factor * u * urgentUnits = part * meanUnits(u) for u.
    return part * meanUnits(0) / (factor * urgentUnits - part * (urgentUnits - usualUnits));
}

} // namespace Portpaddle
