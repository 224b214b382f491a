// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// One attempt of an exchange: its request, its callbacks, and what its outcome tells about the target.

#include "portpaddle/base/metrics.h"
#include "portpaddle/crashes/prompt_part_fingerprint.h"
#include "portpaddle/gateway/exchange.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/elapsed.h"
#include "portpaddle/net/http_status.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// Engines are one network hop away; a connection attempt that takes longer hangs.
constexpr Millis localConnectTimeout{ 400 };
constexpr Millis remoteConnectTimeout{ 800 };
// Approximate one-way latency between regions.
constexpr Millis interRegionLatency{ 55 };
// Runs longer than this are not reported as possible causes of a crash: requests that crashed an upstream did so 48 to 82 ms
// after it began to run them, before their first event.
constexpr Millis crashSuspicionTime{ 250 };
// After so many daemons that do not reach the upstreams, the region of the next one is not asked again.
constexpr unsigned maxCutOffPeers = 2;

} // namespace

struct Exchange::SilenceWatch
{
    std::string upstream;
    /// The check looks for signs of life of the upstream after this time.
    SteadyTime since;
    /// The attempt in progress; null once it has ended.
    UpstreamAttempt *sending = nullptr;
};

AttemptPlan Exchange::planFor(const Target &target)
{
    const bool local = target.upstream.has_value();
    AttemptPlan plan;
    plan.peer = local ? target.upstream->id : target.daemon->id;
    plan.address = local ? target.upstream->address : target.daemon->linkAddress;
    plan.expectedUpstream = local ? target.upstream->registeredName : std::string();
    plan.upstreamVersion = local ? std::optional(versionKeyOf(target.upstream->version)) : std::nullopt;
    const bool near = local || target.daemon->region == gateway_.identity_.region;
    plan.connectTimeout = std::min(near ? localConnectTimeout : remoteConnectTimeout, timeLeft());
    plan.timeLeft = timeLeft();
    if (!local) {
        plan.age = elapsedSince(request_.arrivedAt) + (near ? Millis(0) : interRegionLatency);
        plan.earlierSends = sends_;
        plan.eventsSeen = progress_.begun ? eventsSeen_ : 0;
    }
    if (request_.relayed) {
        plan.reportedSends = sendsByThisDaemon() + 1;
    }
    const bool late = target.placement.urgency == Urgency::Late;
    plan.priority = late ? lowestUpstreamPriority : services_->priorities().upstreamPriorityOf(priority());
    plan.organisation = organisationName_;
    plan.removesAuthorization = !services_->organisations.empty();
    plan.streamed = route_->kind == RouteKind::Stream;
    plan.fetchFrom = target.fetchFrom;
    plan.memoryFrom = std::exchange(memoryFrom_, {});
    plan.continuation = local ? std::nullopt : std::exchange(continuation_, std::nullopt);
    return plan;
}

// The ticket is filled when the request is sent to an upstream of this region; it must outlive the callbacks.
AttemptCallbacks Exchange::callbacksFor(const Target &target, LoadTicket &ticket, bool continuesMovedRun)
{
    AttemptCallbacks callbacks;
    callbacks.streamBegins = [this] { announceStream(BootClock::now()); };
    if (!target.upstream) {
        callbacks.sending = [this] { gateway_.metrics_.count(Counter::SentAway); };
        callbacks.firstEvent = [this] { noteFirstEvent(); };
        callbacks.eventsReceived = [this](std::size_t count) { noteEvents(count); };
        callbacks.bytesReceived = [] {};
        callbacks.maySend = [] { return true; };
        // The answer of another daemon concerns upstreams to which this daemon sends nothing.
        callbacks.headReceived = [](const AnswerNotice &) {};
        return callbacks;
    }
    callbacks.connected = [this, &target] { gateway_.reach_.connected(*target.upstream); };
    callbacks.maySend = [this, &target, continuesMovedRun] {
        const std::string &upstream = target.upstream->id;
        const SteadyTime now = BootClock::now();
        if (!admitsVersion(gateway_.rollouts_.rule(service_), target.upstream->version)) {
            return false;
        }
        if (!place_ && !continuesMovedRun && gateway_.brittleServices_.borne(service_, now)) {
            return false;
        }
        const ExclusionReason exclusionReason = continuesMovedRun ? gateway_.notices_.exclusionForMovedRun(upstream, now)
                                                                  : gateway_.notices_.exclusionReason(upstream, now);
        return exclusionReason == ExclusionReason::None;
    };
    callbacks.sending = [this, &target, &ticket] {
        ++sends_;
        repeatedSends_ += askedUpstreams_.insert(target.upstream->id).second ? 0 : 1;
        gateway_.notices_.sent(target.upstream->id, BootClock::now());
        gateway_.reportedLoads_.sent(target.upstream->id, BootClock::now());
        rolloutTicket_ = gateway_.rollouts_.sent(service_, route_->name, target.upstream->version);
        ticket = gateway_.loads_.sent(*target.upstream, *target.spec, request_.prompt, target.placement, BootClock::now());
    };
    callbacks.headReceived = [this, &target, &ticket](const AnswerNotice &notice) {
        gateway_.reach_.heard(*target.upstream, BootClock::now());
        gateway_.noteBrittle(*target.upstream, notice, ticket.sentAt, BootClock::now());
        noteRejection(*target.upstream, notice, ticket.sentAt);
        gateway_.noteAnswer(*target.upstream, notice, ticket.sentAt);
    };
    callbacks.firstEvent = [this, &target, &ticket] {
        noteFirstEvent();
        const double took = static_cast<double>(elapsedSince(ticket.sentAt).count());
        gateway_.metrics_.observe(Timer::PredictionError, std::abs(took - ticket.predictedMs));
        gateway_.loads_.firstToken(ticket, BootClock::now());
        measureFirstToken(target, took, false);
    };
    callbacks.eventsReceived = [this, &target, &ticket](std::size_t count) {
        noteEvents(count);
        gateway_.loads_.streamed(ticket, count, target.spec->tokensPerEvent, BootClock::now());
    };
    callbacks.bytesReceived = [this, &target] {
        const SteadyTime now = BootClock::now();
        gateway_.loads_.heard(target.upstream->id, now);
        gateway_.reach_.heard(*target.upstream, now);
    };
    return callbacks;
}

void Exchange::noteFirstEvent()
{
    noteRetryArrived();
    attemptFirstBytesAt_ = BootClock::now();
    firstEventMs_ = static_cast<double>(elapsedSince(request_.arrivedAt).count());
    gateway_.metrics_.observe(Timer::FirstByte, firstEventMs_);
}

void Exchange::measureFirstToken(const Target &target, double ms, bool unfinished)
{
    const Placement &placement = target.placement;
    if (request_.prompt.promptTokens == 0 || placement.fetches || placement.predictedMs <= 0) {
        return;
    }
    FirstTokenSample sample;
    sample.upstream = upstreamKey(target.upstream->id);
    sample.tokens = placement.queuedTokens + placement.prefillTokens;
    sample.ms = ms;
    sample.urgency = placement.urgency;
    sample.unfinished = unfinished;
    gateway_.models_.measured(service_, sample, BootClock::now());
}

void Exchange::noteEvents(std::size_t count)
{
    const SteadyTime now = BootClock::now();
    if (lastEventAt_) {
        longestPause_ = std::max(longestPause_, now - *lastEventAt_);
    }
    lastEventAt_ = now;
    eventsSeen_ += count;
}

Task<AttemptReport> Exchange::attempt(const Target &target)
{
    const bool local = target.upstream.has_value();
    const AttemptPlan plan = planFor(target);
    const bool beside = !local && target.daemon->region == gateway_.identity_.region;
    tried_.push_back(local ? target.upstream->id : beside ? target.daemon->id : target.daemon->region);
    askedTargets_
        += (askedTargets_.empty() ? "" : " ") + (local ? target.upstream->id : target.daemon->region + "/" + target.daemon->id);
    if (local) {
        askedVersions_ += (askedVersions_.empty() ? "" : " ") + target.upstream->version;
    }

    LoadTicket ticket;
    attemptFirstBytesAt_.reset();
    const AttemptCallbacks callbacks = callbacksFor(target, ticket, !plan.memoryFrom.empty());
    UpstreamAttempt sending(gateway_.pool_, gateway_.answerMemory_, gateway_.names_, request_, writer_, progress_);
    current_ = &sending;
    const auto watch = std::make_shared<SilenceWatch>(SilenceWatch{ plan.peer, BootClock::now(), &sending });
    if (local && route_->mayRunTwice() && !request_.relayed) {
        watchSilence(watch);
    }
    const bool movable = local && plan.streamed && target.spec->movesMemory && !move_.begun();
    if (movable) {
        gateway_.streams_[plan.peer].insert(this);
    }
    AttemptReport report = co_await sending.run(plan, callbacks);
    if (movable) {
        gateway_.forgetStream(plan.peer, this);
    }
    current_ = nullptr;
    watch->sending = nullptr;
    silenceTimer_.cancel();
    noteAttemptEnd(target, ticket, report);
    if (report.end == AttemptEnd::NotRun) {
        refusedBy_.insert(tried_.back());
    }
    co_return report;
}

/// Passes on what the attempt tells about its target: load, reachability, crashes, incarnation.
void Exchange::noteAttemptEnd(const Target &target, LoadTicket &ticket, const AttemptReport &report)
{
    const bool seen = report.sent && report.relayedSends != 0U;
    if (seen) {
        noteRetryArrived();
    }
    const SteadyTime now = BootClock::now();
    const bool interrupted = interruption_ != Interruption::None;
    givePlaceBack(report.end == AttemptEnd::Complete || report.bufferedAnswer ? PlaceEnd::Answered : PlaceEnd::Unknown);
    if (!report.sent && !report.withheld && !interrupted) {
        if (target.upstream) {
            gateway_.noteConnectFailed(*target.upstream, now);
        } else {
            gateway_.regions_.markUnreachable(target.daemon->id, now);
        }
    }
    if (target.upstream && report.connectionRefused) {
        gateway_.crashes_.connectionRefused(target.upstream->id, now);
    }
    if (target.upstream && (report.end == AttemptEnd::Complete || report.bufferedAnswer)) {
        gateway_.crashes_.recordCompleted(request_, callerName(), sharedParts(), now);
    }
    if (target.upstream && report.connectionBroke && !move_.stopOrdered()) {
        noteBrokenRun(*target.upstream, now);
    }
    if (target.upstream && report.incarnationEnded) {
        gateway_.notices_.incarnationEnded(target.upstream->id, now);
    }
    if (target.upstream) {
        gateway_.rollouts_.ended(std::exchange(rolloutTicket_, {}), sampleOf(*target.upstream, ticket, report, now));
    }
    // Where no upstream of the service sent anything, the path may have failed, which tells nothing about the time of a prefill.
    const bool waited
        = interrupted && !ticket.upstream.empty() && !attemptFirstBytesAt_ && gateway_.reach_.heardSince(service_, ticket.sentAt);
    if (waited) {
        measureFirstToken(target, static_cast<double>(elapsedSince(ticket.sentAt).count()), true);
    }
    if (!ticket.upstream.empty()) {
        const bool answered = report.end == AttemptEnd::Complete;
        // A run that was stopped in order to be moved is no failure of its upstream.
        const bool turnedAway = report.end == AttemptEnd::NotRun || report.turnedAway;
        const LoadOutcome ended = answered ? LoadOutcome::Answered
            : interrupted || move_.begun() ? LoadOutcome::Cancelled
            : turnedAway                   ? LoadOutcome::TurnedAway
                                           : LoadOutcome::Failed;
        gateway_.loads_.ended(ticket, ended, now);
    }
    if (target.daemon && report.peerCutOff) {
        noteCutOffPeer(*target.daemon);
    }
    if (target.daemon && report.sent) {
        // A daemon that failed before it reported its sends is assumed to have sent the request once, as almost all do.
        sends_ += report.relayedSends.value_or(1);
    }
    mayHaveRun_ = mayHaveRun_ || report.end == AttemptEnd::Broken;
}

/// Another daemon of its region may reach the upstreams; a request asks only a few, since each costs a round trip.
void Exchange::noteCutOffPeer(const DaemonRecord &daemon)
{
    gateway_.regions_.markCutOff(daemon.id, bitOf(*gateway_.view_, service_));
    if (++cutOffPeers_ <= maxCutOffPeers) {
        tried_.back() = daemon.id;
    }
}

// A new version is not blamed for what happens to any upstream: one that crashes, refuses a request, or is still cold.
std::optional<AnswerSample> Exchange::sampleOf(const UpstreamRecord &upstream, const LoadTicket &ticket,
                                               const AttemptReport &report, SteadyTime now) const
{
    if (!report.sent || report.turnedAway || upstream.coldUntil > ticket.sentAt) {
        return std::nullopt;
    }
    if (report.bufferedAnswer) {
        return AnswerSample{ report.bufferedAnswer->status >= HttpStatus::internalError, now - ticket.sentAt };
    }
    const bool streams = route_->kind == RouteKind::Stream;
    return streams && attemptFirstBytesAt_ ? std::optional(AnswerSample{ false, *attemptFirstBytesAt_ - ticket.sentAt })
                                           : std::nullopt;
}

void Exchange::noteBrokenRun(const UpstreamRecord &upstream, SteadyTime now)
{
    if (!attemptFirstBytesAt_ || now - *attemptFirstBytesAt_ < crashSuspicionTime) {
        gateway_.crashes_.recordBrokenRun(upstream, { request_, callerName(), fingerprint(), sharedParts() }, now);
    }
}

std::string_view Exchange::callerName() const
{
    return organisationName_.empty() ? viewOf(request_.message[gateway_.names_.authorization]) : organisationName_;
}

bool Exchange::isRequestQuarantined()
{
    // The fingerprints are computed only while anything is quarantined.
    if (!gateway_.crashes_.hasQuarantined()) {
        return false;
    }
    const SteadyTime now = BootClock::now();
    const std::vector<RequestFingerprint> &parts = sharedParts();
    return gateway_.crashes_.isQuarantined(fingerprint(), now)
        || std::any_of(parts.begin(), parts.end(),
                       [this, now](const RequestFingerprint &part) { return gateway_.crashes_.isQuarantined(part, now); });
}

const std::vector<RequestFingerprint> &Exchange::sharedParts()
{
    if (!sharedParts_) {
        sharedParts_ = sharedPartsOf(service_, viewOf(request_.message[gateway_.names_.promptParts]));
    }
    return *sharedParts_;
}

const RequestFingerprint &Exchange::fingerprint()
{
    if (!fingerprint_) {
        fingerprint_ = fingerprintOf(request_, callerName());
    }
    return *fingerprint_;
}

void Exchange::watchSilence(const std::shared_ptr<SilenceWatch> &watch)
{
    silenceTimer_.expires_after(upstreamSilenceBound);
    silenceTimer_.async_wait([weak = weak_from_this(), watch](NetError error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (error || !self || watch->sending == nullptr) {
            return;
        }
        // An upstream that answers other requests does not hang: this request waits in its queue.
        if (self->gateway_.loads_.heardSince(watch->upstream, watch->since) || !self->canAttemptAgain()) {
            watch->since = BootClock::now();
            self->watchSilence(watch);
            return;
        }
        watch->sending->interrupt();
    });
}

} // namespace Portpaddle
