// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// One attempt of an exchange: what it sends, what it hears, and what that shows of its target.

#include "portpaddle/base/metrics.h"
#include "portpaddle/gateway/exchange.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/elapsed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// Engines are one network hop away; a connection that takes longer hangs.
constexpr Millis localConnectTimeout{ 400 };
constexpr Millis remoteConnectTimeout{ 800 };
// One way between regions, about.
constexpr Millis remoteTravel{ 55 };
// Requests that end an upstream did so 48 to 82 ms after it began to run them, before their first event.
constexpr Millis longestDangerousStart{ 250 };
// The least urgent that upstreams know.
constexpr unsigned latePriority = 9;

} // namespace

struct Exchange::AttemptWatch
{
    std::string upstream;
    /// Nothing was heard from the upstream after this.
    SteadyTime since;
    /// Null once the attempt has ended.
    UpstreamAttempt *sending = nullptr;
};

AttemptPlan Exchange::planFor(const Target &target)
{
    const bool local = target.upstream.has_value();
    AttemptPlan plan;
    plan.peer = local ? target.upstream->id : target.daemon->id;
    plan.address = local ? target.upstream->address : target.daemon->linkAddress;
    plan.expectedUpstream = local ? target.upstream->registeredName : std::string();
    plan.connectTimeout = std::min(local ? localConnectTimeout : remoteConnectTimeout, timeLeft());
    plan.timeLeft = timeLeft();
    if (!local) {
        plan.age = elapsedSince(request_.arrivedAt) + remoteTravel;
        plan.earlierSends = sends_;
    }
    if (request_.relayed) {
        plan.toldSends = ownSends() + 1;
    }
    plan.priority = target.placement.urgency == Urgency::Late ? latePriority : std::min(priority(), latePriority - 1);
    plan.organisation = organisationName_;
    plan.dropsKey = !services_->organisations.empty();
    plan.streamed = route_->kind == RouteKind::Stream;
    plan.fetchFrom = target.fetchFrom;
    plan.memoryFrom = std::exchange(memoryFrom_, {});
    plan.continuation = local ? std::nullopt : std::exchange(continuation_, std::nullopt);
    return plan;
}

/// @p ticket is filled when the request leaves for an upstream of the own region; it must outlive the events.
AttemptEvents Exchange::eventsFor(const Target &target, LoadTicket &ticket, bool goesOn)
{
    AttemptEvents events;
    if (!target.upstream) {
        events.sending = [this] { gateway_.metrics_.count(Counter::SentAway); };
        events.firstEvent = [this] { noteFirstEvent(); };
        events.streamed = [this](std::size_t count) { eventsSeen_ += count; };
        events.heard = [] {};
        events.maySend = [] { return true; };
        // What the answer of another daemon says concerns upstreams that this one does not ask.
        events.answered = [](const AnswerNotice &) {};
        return events;
    }
    events.maySend = [this, &target, goesOn] {
        const std::string &upstream = target.upstream->id;
        const SteadyTime now = BootClock::now();
        const ExclusionReason exclusionReason
            = goesOn ? gateway_.notices_.exclusionForMovedRun(upstream, now) : gateway_.notices_.exclusionReason(upstream, now);
        return exclusionReason == ExclusionReason::None;
    };
    events.sending = [this, &target, &ticket] {
        ++sends_;
        gateway_.notices_.sent(target.upstream->id, BootClock::now());
        ticket = gateway_.loads_.sent(*target.upstream, *target.spec, request_.prompt, target.placement, BootClock::now());
    };
    events.answered
        = [this, &target, &ticket](const AnswerNotice &notice) { gateway_.noteAnswer(*target.upstream, notice, ticket.sentAt); };
    events.firstEvent = [this, &ticket] {
        noteFirstEvent();
        const double took = static_cast<double>(elapsedSince(ticket.sentAt).count());
        gateway_.metrics_.observe(Timer::PredictionError, std::abs(took - ticket.predictedMs));
        gateway_.loads_.firstToken(ticket, BootClock::now());
    };
    events.streamed = [this, &target, &ticket](std::size_t count) {
        eventsSeen_ += count;
        gateway_.loads_.streamed(ticket, count, target.spec->tokensPerEvent, BootClock::now());
    };
    events.heard = [this, &target] { gateway_.loads_.heard(target.upstream->id, BootClock::now()); };
    return events;
}

void Exchange::noteFirstEvent()
{
    noteRetryArrived();
    attemptBegan_ = BootClock::now();
    firstEventMs_ = static_cast<double>(elapsedSince(request_.arrivedAt).count());
    gateway_.metrics_.observe(Timer::FirstByte, firstEventMs_);
}

Task<AttemptReport> Exchange::attempt(const Target &target)
{
    const bool local = target.upstream.has_value();
    const AttemptPlan plan = planFor(target);
    predictedMs_ = target.placement.predictedMs;
    tried_.push_back(local ? target.upstream->id : target.daemon->region);
    asked_ += (asked_.empty() ? "" : " ") + (local ? target.upstream->id : target.daemon->region + "/" + target.daemon->id);

    LoadTicket ticket;
    attemptBegan_.reset();
    const AttemptEvents events = eventsFor(target, ticket, !plan.memoryFrom.empty());
    UpstreamAttempt sending(gateway_.pool_, gateway_.names_, request_, writer_, progress_);
    current_ = &sending;
    const auto watch = std::make_shared<AttemptWatch>(AttemptWatch{ plan.peer, BootClock::now(), &sending });
    if (local && route_->mayRunTwice() && !request_.relayed) {
        watchSilence(watch);
    }
    const bool movable = local && plan.streamed && target.spec->movesMemory && !move_.begun();
    if (movable) {
        gateway_.streams_[plan.peer].insert(this);
    }
    AttemptReport report = co_await sending.run(plan, events);
    if (movable) {
        gateway_.forgetStream(plan.peer, this);
    }
    current_ = nullptr;
    watch->sending = nullptr;
    silenceTimer_.cancel();
    noteEnd(target, ticket, report);
    co_return report;
}

/// Tells what the attempt showed of its target.
void Exchange::noteEnd(const Target &target, LoadTicket &ticket, const AttemptReport &report)
{
    const bool seen = report.sent && report.relayedSends != 0U;
    if (seen) {
        noteRetryArrived();
    }
    const SteadyTime now = BootClock::now();
    const bool interrupted = interruption_ != Interruption::None;
    if (!report.sent && !report.withheld && !interrupted) {
        if (target.upstream) {
            gateway_.loads_.connectFailed(target.upstream->id, now);
        } else {
            gateway_.regions_.unreachable(target.daemon->id, now);
        }
    }
    if (target.upstream && report.connectionRefused) {
        gateway_.crashes_.upstreamEnded(target.upstream->id, now);
    }
    if (target.upstream && (report.end == AttemptEnd::Complete || report.failedAnswer)) {
        gateway_.crashes_.recordCompleted(request_, callerName(), now);
    }
    if (target.upstream && report.connectionBroke) {
        noteBrokenRun(*target.upstream, now);
    }
    if (target.upstream && report.incarnationEnded) {
        gateway_.notices_.incarnationEnded(target.upstream->id, now);
    }
    if (!ticket.upstream.empty()) {
        const bool answered = report.end == AttemptEnd::Complete;
        // A run that was stopped to be moved says nothing against its upstream.
        const bool turnedAway = report.end == AttemptEnd::NotRun || report.turnedAway;
        const LoadOutcome ended = answered ? LoadOutcome::Answered
            : interrupted || move_.begun() ? LoadOutcome::Cancelled
            : turnedAway                   ? LoadOutcome::TurnedAway
                                           : LoadOutcome::Failed;
        gateway_.loads_.ended(ticket, ended, now);
    }
    if (target.daemon && report.sent) {
        // A daemon that was lost before it could say sent the request to one upstream, as almost all do.
        sends_ += report.relayedSends.value_or(1);
    }
    mayHaveRun_ = mayHaveRun_ || report.end == AttemptEnd::Broken;
}

void Exchange::noteBrokenRun(const UpstreamRecord &upstream, SteadyTime now)
{
    if (!attemptBegan_ || now - *attemptBegan_ < longestDangerousStart) {
        gateway_.crashes_.recordBrokenRun(upstream, request_, callerName(), fingerprint(), now);
    }
}

std::string_view Exchange::callerName() const
{
    return organisationName_.empty() ? viewOf(request_.message[gateway_.names_.authorization]) : organisationName_;
}

bool Exchange::isHeld()
{
    // The digest is made for requests only while any is held.
    return gateway_.crashes_.hasQuarantined() && gateway_.crashes_.isQuarantined(fingerprint(), BootClock::now());
}

const RequestFingerprint &Exchange::fingerprint()
{
    if (!fingerprint_) {
        fingerprint_ = fingerprintOf(request_, callerName());
    }
    return *fingerprint_;
}

void Exchange::watchSilence(const std::shared_ptr<AttemptWatch> &watch)
{
    silenceTimer_.expires_after(upstreamSilenceBound);
    silenceTimer_.async_wait([weak = weak_from_this(), watch](NetError error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (error || !self || watch->sending == nullptr) {
            return;
        }
        // An upstream that answers others is alive: this request waits its turn there.
        if (self->gateway_.loads_.heardSince(watch->upstream, watch->since) || !self->anotherWillFollow()) {
            watch->since = BootClock::now();
            self->watchSilence(watch);
            return;
        }
        watch->sending->interrupt();
    });
}

} // namespace Portpaddle
