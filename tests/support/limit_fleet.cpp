// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/limit_fleet.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<LimitWay, 4> wayNames{ { "few_holders", "equal_shares", "one_owner", "fraction_of_asked" } };

constexpr auto step = 50ms;
// Digests are sent at every second step; daemons read the list a few times per second.
constexpr unsigned digestIntervalSteps = 2;
constexpr auto answerTime = 300ms;
constexpr auto maxDigestDelay = 0.02;
// Longest delay in seconds until a change on the platform becomes visible.
constexpr auto maxStoreDelay = 0.6;
constexpr auto restartTime = 300ms;
constexpr auto lease = 15s;
constexpr double killedPart = 0.6;
constexpr double longestCut = 10;
constexpr double longestHoldUp = 3;
constexpr auto window = 4s;
constexpr double toleratedPart = 1.5;
constexpr double toleratedRequests = 5;
const std::string region = "north";
const std::string upstream = "u";

} // namespace

std::string_view nameOf(LimitWay way)
{
    return wayNames[way];
}

struct LimitFleet::Daemon
{
    std::string name;
    unsigned life = 0;
    std::unique_ptr<StableOwner> owners;
    std::unique_ptr<UpstreamLimits> limits;
    std::unique_ptr<LimitPace> pace;
    DemandCounters asked;
    /// When the daemon reads the list again.
    SteadyTime readsAt{};
    SteadyTime downUntil{};
    SteadyTime cutUntil{};
    SteadyTime heldUpUntil{};
};

LimitFleet::LimitFleet(const LimitScenario &scenario, LimitWay way, std::uint64_t seed)
    : scenario_(scenario), way_(way), random_(seed)
{
    for (unsigned number = 0; number < scenario.daemons; ++number) {
        const std::string name = "d" + std::to_string(number);
        Daemon &daemon = *(daemons_[name] = std::make_unique<Daemon>());
        daemon.name = name;
        start(daemon);
    }
}

LimitFleet::~LimitFleet() = default;

void LimitFleet::play(std::chrono::seconds length)
{
    for (const SteadyTime end = now_ + length; now_ < end; now_ += step, ++step_) {
        strike();
        publishViews();
        deliver();
        for (const auto &[name, daemon] : daemons_) {
            if (daemon->downUntil <= now_) {
                tell(*daemon);
                serve(*daemon);
            }
        }
    }
    std::sort(arrivals_.begin(), arrivals_.end());
}

void LimitFleet::name(double perSecond)
{
    named_ = perSecond;
    namedAt_ = now_;
    gathered_.setOptions({ LimitUnit::Requests, std::max(perSecond, 0.01), 1, 0 }, 1, {}, now_);
}

double LimitFleet::worstPart(std::chrono::seconds after) const
{
    std::size_t worst = 0;
    for (auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), namedAt_ + after); first != arrivals_.end(); ++first) {
        const auto last = std::upper_bound(first, arrivals_.end(), *first + window);
        worst = std::max(worst, static_cast<std::size_t>(last - first));
    }
    const double allowed = toleratedPart * scenario_.perSecond * inSeconds(window) + toleratedRequests;
    return static_cast<double>(worst) / allowed;
}

double LimitFleet::usedPart(std::chrono::seconds after) const
{
    const auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), namedAt_ + after);
    return static_cast<double>(arrivals_.end() - first) / inSeconds(now_ - namedAt_ - after) / scenario_.perSecond;
}

std::size_t LimitFleet::arrivedLately(std::chrono::seconds time) const
{
    return static_cast<std::size_t>(arrivals_.end() - std::lower_bound(arrivals_.begin(), arrivals_.end(), now_ - time));
}

bool LimitFleet::happens(double perSecond)
{
    return random_.fraction() < perSecond * std::chrono::duration<double>(step).count();
}

SteadyTime::duration LimitFleet::randomTime(double longestSeconds)
{
    return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(longestSeconds * random_.fraction()));
}

void LimitFleet::start(Daemon &daemon)
{
    ++daemon.life;
    daemon.owners = std::make_unique<StableOwner>(daemon.name);
    daemon.limits = std::make_unique<UpstreamLimits>(LimitScope{ daemon.name, region }, *daemon.owners, metrics_);
    daemon.limits->setWriteRecord([this](const StoredLimit &limit) { writes_.emplace(now_ + randomTime(maxStoreDelay), limit); });
    daemon.pace = std::make_unique<LimitPace>(now_);
    daemon.asked = {};
    daemon.readsAt = now_;
}

void LimitFleet::strike()
{
    const LimitTroubles &troubles = scenario_.troubles;
    const bool all = happens(troubles.killAll);
    const bool some = happens(troubles.killSome);
    for (const auto &[name, daemon] : daemons_) {
        if (all || (some && random_.fraction() < killedPart)) {
            start(*daemon);
            daemon->downUntil = now_ + restartTime;
            daemon->readsAt = daemon->downUntil;
        }
        if (happens(troubles.cut)) {
            daemon->cutUntil = now_ + randomTime(longestCut);
        }
        if (happens(troubles.holdUp)) {
            daemon->heldUpUntil = std::max(daemon->heldUpUntil, now_ + randomTime(longestHoldUp));
        }
    }
}

void LimitFleet::publishViews()
{
    while (!writes_.empty() && writes_.begin()->first <= now_) {
        const StoredLimit &written = writes_.begin()->second;
        stored_[written.upstream] = written.perSecond;
        writes_.erase(writes_.begin());
    }
    std::shared_ptr<FleetView> view;
    std::vector<std::uint64_t> members;
    for (const auto &[name, daemon] : daemons_) {
        if (daemon->downUntil <= now_) {
            leases_[name] = now_ + lease;
        }
    }
    for (const auto &[name, daemon] : daemons_) {
        if (daemon->readsAt > now_ || daemon->downUntil > now_) {
            continue;
        }
        if (!view) {
            view = std::make_shared<FleetView>();
            view->upstreamLimits = stored_;
            view->upstreams[upstream].region = region;
            for (const auto &[other, until] : leases_) {
                if (until > now_) {
                    view->daemons.push_back({ other, region, "", "", other, false, 0 });
                    members.push_back(stableHash(other));
                }
            }
        }
        daemon->owners->setMembers(members, now_);
        daemon->limits->setView(view, now_);
        daemon->readsAt = now_ + randomTime(maxStoreDelay);
    }
}

void LimitFleet::deliver()
{
    while (!messages_.empty() && messages_.begin()->first <= now_) {
        const Message &message = messages_.begin()->second;
        Daemon &daemon = *daemons_.at(message.to);
        if (daemon.downUntil <= now_ && daemon.cutUntil <= now_) {
            daemon.limits->takeNews(message.digest, now_);
        }
        messages_.erase(messages_.begin());
    }
    while (!answers_.empty() && answers_.begin()->first <= now_) {
        const Answer &answer = answers_.begin()->second;
        Daemon &daemon = *daemons_.at(answer.daemon);
        if (daemon.life == answer.life) {
            const LimitReading reading{ answer.named > 0 ? LimitKind::Named : LimitKind::Absent, answer.named };
            daemon.limits->answered(upstream, reading, true, answer.sentAt, now_);
        }
        answers_.erase(answers_.begin());
    }
}

void LimitFleet::tell(Daemon &daemon)
{
    daemon.limits->tick(now_);
    if (step_ % digestIntervalSteps != 0) {
        return;
    }
    gathered_.recordCounters(daemon.name, daemon.asked, now_);
    Wire::LoadDigestT header;
    header.daemon = daemon.name;
    header.region = region;
    const bool cut = daemon.cutUntil > now_;
    for (const OutgoingDigest &outgoing : daemon.limits->dueDigests(header, now_)) {
        for (const std::string &to : outgoing.to) {
            if (!cut && random_.fraction() >= scenario_.troubles.loss) {
                messages_.emplace(now_ + randomTime(maxDigestDelay), Message{ to, outgoing.digest });
            }
        }
    }
}

/// The upstream is the first choice for every request, so that each request that the limit allows is sent.
void LimitFleet::serve(Daemon &daemon)
{
    if (!happens(scenario_.requestsPerSecond)) {
        return;
    }
    if (isKnown()) {
        ++daemon.asked.askedUnits;
        ++daemon.asked.askedRequests;
    }
    if (maySend(daemon)) {
        send(daemon);
    }
}

bool LimitFleet::isKnown() const
{
    return named_ > 0 && now_ - namedAt_ >= answerTime;
}

bool LimitFleet::maySend(Daemon &daemon)
{
    if (way_ == LimitWay::FewHolders) {
        return daemon.limits->allows(upstream, now_);
    }
    if (!isKnown()) {
        return true;
    }
    if (way_ == LimitWay::FractionOfAsked) {
        const auto heardOfAll = [](const std::string &, SteadyTime) { return false; };
        return random_.fraction() < gathered_.grant(heardOfAll, now_).fraction;
    }
    const std::uint64_t key = stableHash(upstream);
    const bool one = way_ == LimitWay::OneOwner;
    const bool holds = !one || daemon.owners->isAmong(key, 1, now_);
    const double share = one ? named_ : named_ / static_cast<double>(std::max<std::size_t>(1, daemon.owners->members()));
    daemon.pace->setRate(holds ? share : 0, now_);
    return daemon.pace->ready();
}

void LimitFleet::send(Daemon &daemon)
{
    daemon.limits->take(upstream, now_);
    if (isKnown()) {
        daemon.pace->take();
        ++daemon.asked.admittedUnits;
    }
    const SteadyTime arrives = std::max(now_, daemon.heldUpUntil);
    arrivals_.push_back(arrives);
    answers_.emplace(arrives + answerTime, Answer{ daemon.name, daemon.life, named_, now_ });
}

} // namespace Portpaddle
