// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/rollout_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr auto step = 10ms;
constexpr auto digestStep = 100ms;
constexpr std::size_t regionCount = 3;
constexpr double lostDatagrams = 0.02;
constexpr double secondRouteShare = 0.1;
constexpr double usualMs = 30;
constexpr unsigned badAnswersUntilKnown = 50;
constexpr auto rollbackBound = 5s;
// A daemon notices within this time that the store is away.
constexpr auto outageNoticed = 1s;
const std::string service = "s";
const std::string newVersion = "v2";

} // namespace

struct RolloutFleet::Daemon
{
    std::string id;
    bool ended = false;
    std::unique_ptr<RolloutCoordinator> coordinator;
};

RolloutFleet::RolloutFleet(const RolloutScenario &scenario, std::uint64_t seed) : scenario_(scenario), random_(seed)
{
    for (unsigned index = 0; index < scenario.daemons; ++index) {
        auto daemon = std::make_unique<Daemon>();
        daemon->id = fmt::format("d{}", index);
        daemon->coordinator = std::make_unique<RolloutCoordinator>(
            daemon->id, fmt::format("r{}", index % regionCount), index + 1, [this](const std::string &id, SteadyTime) {
                return std::any_of(daemons_.begin(), daemons_.end(),
                                   [&id](const auto &each) { return each->ended && each->id == id; });
            });
        daemon->coordinator->setWriter(
            [this](const RolloutRecord &record, std::uint64_t expectedRevision) { write(record, expectedRevision); });
        daemons_.push_back(std::move(daemon));
    }
}

RolloutFleet::~RolloutFleet() = default;

void RolloutFleet::at(SteadyTime time, std::function<void()> work)
{
    events_.emplace(time, std::move(work));
}

SteadyTime::duration RolloutFleet::randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return least + std::chrono::duration_cast<SteadyTime::duration>((most - least) * random_.fraction());
}

bool RolloutFleet::storeIsAway() const
{
    const auto since = now_ - orderedAt_;
    return since >= scenario_.outageFrom && since < scenario_.outageFrom + scenario_.outage;
}

void RolloutFleet::play()
{
    stored_.order = RolloutOrder{ revision_, service, newVersion, scenario_.duration };
    publish();
    if (scenario_.controllerEndsAt > 0ms) {
        at(orderedAt_ + scenario_.controllerEndsAt, [this] { endController(); });
    }
    double due = 0;
    for (SteadyTime digestsAt = now_; now_ < orderedAt_ + scenario_.duration; now_ += step) {
        if (storeIsAway() != wasAway_) {
            wasAway_ = !wasAway_;
            publish();
        }
        for (due += scenario_.requestsPerSecond * std::chrono::duration<double>(step).count(); due >= 1; due -= 1) {
            request();
        }
        if (now_ >= digestsAt) {
            digestsAt += digestStep;
            exchangeDigests();
        }
        while (!events_.empty() && events_.begin()->first <= now_) {
            const std::function<void()> work = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            work();
        }
    }
}

void RolloutFleet::write(const RolloutRecord &record, std::uint64_t expectedRevision)
{
    at(now_ + randomTime(4ms, 20ms), [this, record, expectedRevision] {
        const std::uint64_t current = stored_.record ? stored_.record->revision : 0;
        if (storeIsAway() || current != expectedRevision) {
            return;
        }
        stored_.record = record;
        stored_.record->revision = ++revision_;
        cutOff_ = record.stage == RolloutStage::Completed ? runningOlder_ : cutOff_;
        publish();
    });
}

/// Daemons learn of a change one after the other.
void RolloutFleet::publish()
{
    auto view = std::make_shared<FleetView>();
    view->rollouts[service] = stored_;
    view->storeReachable = !storeIsAway();
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        DaemonRecord record;
        record.id = daemons_[index]->id;
        record.linkAddress = record.id;
        record.region = fmt::format("r{}", index % regionCount);
        view->daemons.push_back(record);
    }
    for (const auto &daemon : daemons_) {
        at(now_ + randomTime(100ms, 1'000ms), [view, coordinator = daemon->coordinator.get()] { coordinator->setView(view); });
    }
}

void RolloutFleet::request()
{
    Daemon &daemon = *daemons_[random_.below(daemons_.size())];
    const bool onSecondRoute = random_.fraction() < secondRouteShare;
    const VersionArm arm = drawArm(daemon.coordinator->rule(service), random_.fraction());
    const bool newer = arm == VersionArm::Newer;
    if (daemon.ended || arm == VersionArm::Any) {
        return;
    }
    const RolloutTicket ticket = daemon.coordinator->sent(service, onSecondRoute ? "second" : "first", newer ? newVersion : "v1");
    ++arrivals_;
    newerArrivals_ += newer ? 1 : 0;
    lateArrivals_ += newer && knownBadAt_ && now_ > *knownBadAt_ + rollbackBound ? 1 : 0;
    const bool lostStore = storeIsAway() && now_ - orderedAt_ - scenario_.outageFrom > outageNoticed;
    sentWithoutStore_ += newer && lostStore ? 1 : 0;
    runningOlder_ += newer ? 0 : 1;
    const VersionFault &fault = scenario_.fault;
    const bool affected = newer && now_ - orderedAt_ >= fault.from && (onSecondRoute || !fault.onSecondRouteOnly)
        && random_.fraction() < fault.share;
    AnswerSample sample;
    sample.failed = random_.fraction() < scenario_.usualFailures || (affected && fault.fails);
    // Most answers take about the usual time, a few much longer.
    const double spread = std::exp(random_.fraction() + random_.fraction() + random_.fraction() - 1.5);
    sample.time = std::chrono::duration<double, std::milli>(usualMs * spread * (affected && !fault.fails ? fault.slowness : 1));
    const auto time = std::chrono::duration_cast<SteadyTime::duration>(sample.time);
    at(now_ + time, [this, &daemon, ticket, sample, newer, affected] { answer(daemon, ticket, sample, newer, affected); });
}

void RolloutFleet::answer(Daemon &daemon, const RolloutTicket &ticket, const AnswerSample &sample, bool newer, bool bad)
{
    daemon.coordinator->ended(ticket, sample);
    runningOlder_ -= newer ? 0 : 1;
    badAnswers_ += bad ? 1 : 0;
    if (bad && badAnswers_ == badAnswersUntilKnown) {
        knownBadAt_ = now_;
    }
}

void RolloutFleet::exchangeDigests()
{
    for (const auto &daemon : daemons_) {
        if (daemon->ended) {
            continue;
        }
        Wire::LoadDigestT header;
        header.daemon = daemon->id;
        for (OutgoingDigest &outgoing : daemon->coordinator->due(header, now_)) {
            const auto to = std::find_if(daemons_.begin(), daemons_.end(),
                                         [&outgoing](const auto &each) { return each->id == outgoing.to.front(); });
            if (random_.fraction() < lostDatagrams || (*to)->ended) {
                continue;
            }
            const auto digest = std::make_shared<Wire::LoadDigestT>(std::move(outgoing.digest));
            at(now_ + randomTime(1ms, 60ms),
               [this, digest, coordinator = (*to)->coordinator.get()] { coordinator->take(*digest, now_); });
        }
    }
}

/// Ends the daemon that decides, which is the first one to have written.
void RolloutFleet::endController()
{
    FleetView view;
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        DaemonRecord record;
        record.id = daemons_[index]->id;
        record.region = fmt::format("r{}", index % regionCount);
        view.daemons.push_back(record);
    }
    const auto shared = std::make_shared<const FleetView>(std::move(view));
    for (const auto &daemon : daemons_) {
        RolloutRelay relay(daemon->id, {}, 0, [](const std::string &, SteadyTime) { return false; });
        relay.setView(shared);
        if (relay.controllerRank(now_) == 0U) {
            daemon->ended = true;
        }
    }
}

RolloutStage RolloutFleet::stage() const
{
    return stored_.record ? stored_.record->stage : RolloutStage::Trial;
}

std::size_t RolloutFleet::arrivals() const
{
    return arrivals_;
}

std::size_t RolloutFleet::newerArrivals() const
{
    return newerArrivals_;
}

std::size_t RolloutFleet::lateArrivals() const
{
    return lateArrivals_;
}

std::size_t RolloutFleet::cutOff() const
{
    return cutOff_;
}

std::size_t RolloutFleet::sentWithoutStore() const
{
    return sentWithoutStore_;
}

} // namespace Portpaddle
