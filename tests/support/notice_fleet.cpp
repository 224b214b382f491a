// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/notice_fleet.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>
#include <set>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<NoticeWay, 4> wayNames{ { "own", "ignored", "leaving_told", "one_after_time" } };

constexpr auto step = 20ms;
constexpr auto oneWay = 1ms;
constexpr auto refusalTime = 1ms;
constexpr auto runTime = 150ms;
constexpr auto restartTime = 300ms;
constexpr auto callerTimeout = 8s;
constexpr auto defaultRetryDelay = 500ms;
constexpr auto drainBound = 3s;
constexpr auto noticeTime = 500ms;
constexpr unsigned attempts = 2;
constexpr double killedPart = 0.6;
constexpr double longestHoldUp = 2;
constexpr double longestMove = 6;
constexpr double longestLapse = 3;
// Retries earned per request, and the most that are saved.
constexpr double retryRatio = 0.2;
constexpr double maxRetries = 10;
constexpr double retryDelaySpread = 0.5;

} // namespace

std::string_view nameOf(NoticeWay way)
{
    return wayNames[way];
}

struct NoticeFleet::Daemon
{
    std::size_t index = 0;
    unsigned life = 0;
    std::unique_ptr<UpstreamNotices> notices;
    double retries = 0;
    SteadyTime downUntil{};
    SteadyTime heldUpUntil{};
    /// By upstream: when its first answer that announced leaving arrived.
    std::map<std::size_t, SteadyTime> toldLeaving;
    std::map<std::size_t, std::vector<AskedTime>> askedTimes;
    /// Upstreams that refused the last request, and the number of requests in progress by upstream.
    std::set<std::size_t> trying;
    std::map<std::size_t, unsigned> underWay;
};

struct NoticeFleet::Upstream
{
    std::string id;
    bool isShort = false;
    bool leaving = false;
    SteadyTime goneAt = SteadyTime::max();
    SteadyTime lapsedUntil{};
};

NoticeFleet::NoticeFleet(const NoticeScenario &scenario, NoticeWay way, std::uint64_t seed)
    : scenario_(scenario), way_(way), random_(seed), upstreams_(scenario.upstreams)
{
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
        upstreams_[index].id = "u" + std::to_string(index);
    }
    for (std::size_t index = 0; index < scenario.daemons; ++index) {
        daemons_.push_back(std::make_unique<Daemon>());
        daemons_.back()->index = index;
        start(*daemons_.back());
    }
}

NoticeFleet::~NoticeFleet() = default;

void NoticeFleet::play(std::chrono::seconds length)
{
    for (const SteadyTime end = now_ + length; now_ < end;) {
        strike();
        const double expected = scenario_.requestsPerSecond * std::chrono::duration<double>(step).count();
        for (double due = expected; random_.fraction() < due; due -= 1) {
            Request request;
            request.givenUpAt = now_ + callerTimeout;
            ++callers_;
            ask(std::move(request));
        }
        const SteadyTime next = now_ + step;
        while (!events_.empty() && events_.begin()->first < next) {
            now_ = std::max(now_, events_.begin()->first);
            const std::function<void()> work = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            work();
        }
        now_ = next;
    }
}

void NoticeFleet::setShort(unsigned count, bool isShort)
{
    for (unsigned index = 0; index < count; ++index) {
        upstreams_[index].isShort = isShort;
    }
}

void NoticeFleet::leave(unsigned count, std::chrono::seconds stay)
{
    for (unsigned index = 0; index < count; ++index) {
        upstreams_[index].leaving = true;
        upstreams_[index].goneAt = now_ + stay;
    }
}

std::size_t NoticeFleet::afterLeaving() const
{
    return afterLeaving_;
}

std::size_t NoticeFleet::mostWithinTime() const
{
    return mostWithinTime_;
}

double NoticeFleet::servedPart() const
{
    return static_cast<double>(served_) / static_cast<double>(std::max<std::size_t>(1, ended_));
}

double NoticeFleet::arrivalsPerServed() const
{
    return static_cast<double>(arrivals_) / static_cast<double>(std::max<std::size_t>(1, served_));
}

std::size_t NoticeFleet::metGone() const
{
    return metGone_;
}

void NoticeFleet::at(SteadyTime time, std::function<void()> work)
{
    events_.emplace(time, std::move(work));
}

bool NoticeFleet::happens(double perSecond)
{
    return perSecond > 0 && random_.fraction() < perSecond * std::chrono::duration<double>(step).count();
}

SteadyTime::duration NoticeFleet::randomTime(double longestSeconds)
{
    return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(longestSeconds * random_.fraction()));
}

void NoticeFleet::start(Daemon &daemon)
{
    ++daemon.life;
    daemon.notices = std::make_unique<UpstreamNotices>(metrics_);
    daemon.toldLeaving.clear();
    daemon.askedTimes.clear();
    daemon.trying.clear();
    daemon.underWay.clear();
}

void NoticeFleet::strike()
{
    const NoticeTroubles &troubles = scenario_.troubles;
    const bool all = happens(troubles.killAll);
    const bool some = happens(troubles.killSome);
    for (const auto &daemon : daemons_) {
        if (all || (some && random_.fraction() < killedPart)) {
            start(*daemon);
            daemon->downUntil = now_ + restartTime;
        }
        if (happens(troubles.holdUp)) {
            daemon->heldUpUntil = std::max(daemon->heldUpUntil, now_ + randomTime(longestHoldUp));
            // A delayed daemon is not checked against retry times named before the delay.
            daemon->askedTimes.clear();
        }
    }
    if (happens(troubles.moveCallers)) {
        frequented_ = { random_.below(daemons_.size()), random_.below(daemons_.size()) };
        at(now_ + randomTime(longestMove), [this] { frequented_.clear(); });
    }
    for (Upstream &upstream : upstreams_) {
        if (happens(troubles.lapse)) {
            upstream.lapsedUntil = now_ + randomTime(longestLapse);
        }
    }
}

/// The entries of the store do not tell which upstreams leave.
void NoticeFleet::publish(Daemon &daemon)
{
    FleetView view;
    for (const Upstream &upstream : upstreams_) {
        if (upstream.lapsedUntil <= now_) {
            view.upstreams[upstream.id].id = upstream.id;
        }
    }
    daemon.notices->setView(view, now_);
}

void NoticeFleet::ask(Request request)
{
    const bool everywhere = frequented_.empty();
    request.daemon = everywhere ? random_.below(daemons_.size()) : frequented_[random_.below(frequented_.size())];
    request.sentAt = now_;
    request.sends = 0;
    request.tried.clear();
    Daemon &daemon = *daemons_[request.daemon];
    daemon.retries = std::min(maxRetries, daemon.retries + retryRatio);
    if (scenario_.troubles.lapse > 0) {
        publish(daemon);
    }
    if (daemon.downUntil > now_) {
        refuse(std::move(request));
        return;
    }
    forward(std::move(request));
}

bool NoticeFleet::maySend(const Daemon &daemon, std::size_t upstream) const
{
    if (way_ == NoticeWay::Ignored) {
        return true;
    }
    if (way_ == NoticeWay::LeavingTold && upstreams_[upstream].leaving) {
        return false;
    }
    if (way_ == NoticeWay::OneAfterTime && daemon.trying.contains(upstream) && daemon.underWay.contains(upstream)
        && daemon.underWay.at(upstream) > 0) {
        return false;
    }
    return daemon.notices->exclusionReason(upstreams_[upstream].id, now_) == ExclusionReason::None;
}

void NoticeFleet::forward(Request request)
{
    const Daemon &daemon = *daemons_[request.daemon];
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
        const bool tried = std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
        if (!tried && upstreams_[index].lapsedUntil <= now_ && maySend(daemon, index)) {
            candidates.push_back(index);
        }
    }
    if (candidates.empty()) {
        refuse(std::move(request));
        return;
    }
    const std::size_t upstream = candidates[random_.below(candidates.size())];
    request.tried.push_back(upstream);
    if (upstreams_[upstream].goneAt <= now_) {
        ++metGone_;
        forward(std::move(request));
        return;
    }
    send(std::move(request), upstream);
}

void NoticeFleet::send(Request request, std::size_t upstream)
{
    Daemon &daemon = *daemons_[request.daemon];
    ++request.sends;
    ++daemon.underWay[upstream];
    const SteadyTime arrives = std::max(now_, daemon.heldUpUntil) + oneWay;
    at(arrives, [this, request = std::move(request), life = daemon.life, upstream] { arrive(request, life, upstream); });
}

void NoticeFleet::arrive(const Request &request, unsigned life, std::size_t upstream)
{
    ++arrivals_;
    count(request, life, upstream);
    const Upstream &target = upstreams_[upstream];
    const bool served = !target.isShort || random_.fraction() >= scenario_.turnedAway;
    Daemon &daemon = *daemons_[request.daemon];
    const SteadyTime answers = now_ + (served ? runTime : refusalTime);
    if (!served && daemon.life == life && daemon.heldUpUntil <= now_) {
        daemon.askedTimes[upstream].push_back({ answers + noticeTime, answers + scenario_.askedTime });
    }
    at(std::max(answers + oneWay, daemon.heldUpUntil + oneWay),
       [this, request, life, upstream, served] { answered(request, life, upstream, served); });
}

void NoticeFleet::count(const Request &request, unsigned life, std::size_t upstream)
{
    Daemon &daemon = *daemons_[request.daemon];
    if (daemon.life != life) {
        return;
    }
    const auto told = daemon.toldLeaving.find(upstream);
    afterLeaving_ += told != daemon.toldLeaving.end() && request.sentAt > told->second + drainBound ? 1 : 0;
    for (AskedTime &asked : daemon.askedTimes[upstream]) {
        if (now_ >= asked.from && now_ <= asked.until) {
            mostWithinTime_ = std::max(mostWithinTime_, ++asked.arrivals);
        }
    }
    std::erase_if(daemon.askedTimes[upstream], [this](const AskedTime &asked) { return asked.until < now_; });
}

void NoticeFleet::answered(Request request, unsigned life, std::size_t upstream, bool served)
{
    Daemon &daemon = *daemons_[request.daemon];
    if (daemon.life != life) {
        // The connection ended with the daemon; the caller tries again.
        refuse(std::move(request));
        return;
    }
    --daemon.underWay[upstream];
    AnswerNotice notice;
    if (upstreams_[upstream].leaving) {
        notice.leaving = LeavingNotice::Leaving;
        daemon.toldLeaving.try_emplace(upstream, now_);
    }
    if (!served) {
        notice.backoff = { RetryAfterKind::Named, scenario_.askedTime };
        daemon.trying.insert(upstream);
    } else {
        daemon.trying.erase(upstream);
    }
    daemon.notices->answered(upstreams_[upstream].id, notice, now_);
    if (served) {
        ++served_;
        ++ended_;
        return;
    }
    if (request.sends < attempts && daemon.retries >= 1) {
        daemon.retries -= 1;
        forward(std::move(request));
        return;
    }
    refuse(std::move(request));
}

/// The caller tries again after the named retry time, but waits at most a third of its remaining time.
void NoticeFleet::refuse(Request request)
{
    const SteadyTime::duration left = request.givenUpAt - now_;
    SteadyTime::duration retryDelay = defaultRetryDelay;
    if (way_ != NoticeWay::Ignored) {
        std::vector<const std::string *> ids;
        for (const Upstream &upstream : upstreams_) {
            ids.push_back(&upstream.id);
        }
        const auto earliestEnd = daemons_[request.daemon]->notices->earliestBackoffEnd(ids, now_);
        if (earliestEnd) {
            retryDelay = *earliestEnd + randomTime(retryDelaySpread * std::chrono::duration<double>(*earliestEnd).count());
        }
    }
    retryDelay = std::min(retryDelay, left / 3);
    if (left < defaultRetryDelay) {
        ++ended_;
        return;
    }
    at(now_ + retryDelay, [this, request = std::move(request)] { ask(request); });
}

} // namespace Portpaddle
