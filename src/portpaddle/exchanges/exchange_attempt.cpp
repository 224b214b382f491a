// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// One attempt of an exchange: its request, its callbacks, and what its outcome tells about the target.

#include "portpaddle/exchanges/exchange_attempt.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/crashes/prompt_part_fingerprint.h"
#include "portpaddle/exchanges/exchange.h"
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
// After so many daemons that do not reach the upstreams or have an older configuration, the region of the next one is not asked
// again.
constexpr unsigned maxUnfitPeers = 2;

} // namespace

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
        plan.acceptedUnder = ConfigurationStamp{ services_->version, gateway_.identity_.id };
        plan.earlierSends = sends_;
        plan.ranAt = ranAt_;
        plan.eventsSeen = progress_.begun ? eventsSeen_ : 0;
    }
    if (request_.relayed) {
        plan.relayReport = RelayReport{ sendsByThisDaemon() + 1, { upstreamKey(plan.peer) } };
    }
    const bool late = target.placement.urgency == Urgency::Late;
    plan.priority = late ? lowestUpstreamPriority : services_->priorities().upstreamPriorityOf(priority());
    plan.organisation = organisationName_;
    plan.removesAuthorization = !services_->organisations.empty();
    plan.streamed = route_->kind == RouteKind::Stream;
    // Elsewhere the id that the caller names has no meaning.
    if (route_->resumable || request_.continuation) {
        plan.takenUpAfter = viewOf(request_.message[gateway_.names_.lastEventId]);
    }
    plan.fetchFrom = target.fetchFrom;
    plan.memoryFrom = std::exchange(memoryFrom_, {});
    plan.continuation = local ? std::nullopt : std::exchange(continuation_, std::nullopt);
    return plan;
}

AttemptCallbacks Exchange::remoteCallbacksFor(Attempt &attempt)
{
    AttemptCallbacks callbacks;
    callbacks.streamBegins = [this] { announceStream(BootClock::now()); };
    callbacks.sending = [this] { gateway_.metrics_.count(Counter::SentAway); };
    callbacks.firstEvent = [this, &attempt] { noteFirstEvent(attempt); };
    callbacks.eventsReceived = [this](std::size_t count) { noteEvents(count); };
    callbacks.bytesReceived = [] {};
    callbacks.maySend = [this, &attempt] { return !attempt.isDropped && !isTooLateToSend(attempt.plan); };
    // The answer of another daemon concerns upstreams to which this daemon sends nothing.
    callbacks.headReceived = [](const AnswerNotice &) {};
    return callbacks;
}

AttemptCallbacks Exchange::callbacksFor(Attempt &attempt)
{
    if (!attempt.target.upstream) {
        return remoteCallbacksFor(attempt);
    }
    AttemptCallbacks callbacks;
    callbacks.streamBegins = [this] { announceStream(BootClock::now()); };
    callbacks.connected = [this, &attempt] { gateway_.reach_.connected(*attempt.target.upstream); };
    callbacks.maySend = [this, &attempt] { return maySend(attempt); };
    callbacks.sending = [this, &attempt] { noteSending(attempt); };
    callbacks.headReceived = [this, &attempt](const AnswerNotice &notice) { noteHead(attempt, notice); };
    callbacks.answerBegins = [this, &attempt] { noteAnswerBegins(attempt); };
    callbacks.firstEvent = [this, &attempt] {
        noteFirstEvent(attempt);
        const double took = static_cast<double>(elapsedSince(attempt.ticket.sentAt).count());
        gateway_.metrics_.observe(Timer::PredictionError, std::abs(took - attempt.ticket.predictedMs));
        gateway_.loads_.firstToken(attempt.ticket, BootClock::now());
        measureFirstToken(attempt.target, took, false);
    };
    callbacks.eventsReceived = [this, &attempt](std::size_t count) {
        noteEvents(count);
        gateway_.loads_.streamed(attempt.ticket, count, attempt.target.spec->tokensPerEvent, BootClock::now());
    };
    callbacks.bytesReceived = [this, &attempt] {
        const SteadyTime now = BootClock::now();
        noteAnswerBegins(attempt);
        gateway_.loads_.heard(attempt.target.upstream->id, now);
        gateway_.reach_.heard(*attempt.target.upstream, now);
    };
    return callbacks;
}

bool Exchange::maySend(const Attempt &attempt)
{
    const UpstreamRecord &upstream = *attempt.target.upstream;
    const SteadyTime now = BootClock::now();
    const bool continuesMovedRun = !attempt.plan.memoryFrom.empty();
    if (attempt.isDropped || isTooLateToSend(attempt.plan)
        || !admitsVersion(gateway_.rollouts_.rule(service_), upstream.version)) {
        return false;
    }
    if (!attempt.place && !continuesMovedRun && gateway_.brittleServices_.borne(service_, now)) {
        return false;
    }
    const ExclusionReason exclusionReason = continuesMovedRun ? gateway_.notices_.exclusionForMovedRun(upstream.id, now)
                                                              : gateway_.notices_.exclusionReason(upstream.id, now);
    return exclusionReason == ExclusionReason::None;
}

void Exchange::noteSending(Attempt &attempt)
{
    const UpstreamRecord &upstream = *attempt.target.upstream;
    const SteadyTime now = BootClock::now();
    ++sends_;
    repeatedSends_ += askedUpstreams_.insert(upstream.id).second ? 0 : 1;
    gateway_.notices_.sent(upstream.id, now);
    gateway_.reportedLoads_.sent(upstream.id, now);
    attempt.rollout = gateway_.rollouts_.sent(service_, route_->name, upstream.version);
    attempt.ticket = gateway_.loads_.sent(upstream, *attempt.target.spec, request_.prompt, attempt.target.placement, now);
}

void Exchange::noteHead(Attempt &attempt, const AnswerNotice &notice)
{
    const UpstreamRecord &upstream = *attempt.target.upstream;
    const SteadyTime now = BootClock::now();
    gateway_.reach_.heard(upstream, now);
    gateway_.noteBrittle(upstream, notice, attempt.ticket.sentAt, now);
    noteRejection(attempt, notice);
    gateway_.noteAnswer(upstream, notice, attempt.ticket.sentAt);
}

/// The answer of the attempt in progress arrives: no other one is needed.
void Exchange::noteAnswerBegins(const Attempt &attempt)
{
    if (current_.get() == &attempt) {
        dropStandby();
    }
}

void Exchange::noteFirstEvent(Attempt &attempt)
{
    noteAnswerBegins(attempt);
    noteRetryArrived();
    attempt.firstBytesAt = BootClock::now();
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

std::shared_ptr<Exchange::Attempt> Exchange::makeAttempt(Target target, std::optional<HeldPlace> place)
{
    const bool local = target.upstream.has_value();
    const bool beside = !local && target.daemon->region == gateway_.identity_.region;
    const std::string &key = local ? target.upstream->id : beside ? target.daemon->id : target.daemon->region;
    tried_.push_back(key);
    askedTargets_
        += (askedTargets_.empty() ? "" : " ") + (local ? target.upstream->id : target.daemon->region + "/" + target.daemon->id);
    if (local) {
        askedVersions_ += (askedVersions_.empty() ? "" : " ") + target.upstream->version;
    }
    const auto attempt = std::make_shared<Attempt>(gateway_, request_, writer_, progress_);
    attempt->triedAs = key;
    attempt->plan = planFor(target);
    attempt->target = std::move(target);
    attempt->place = std::move(place);
    attempt->callbacks = callbacksFor(*attempt);
    return attempt;
}

/// Passes on what the attempt tells about its target: load, reachability, crashes, incarnation.
void Exchange::noteAttemptEnd(Attempt &attempt, const AttemptReport &report)
{
    const Target &target = attempt.target;
    LoadTicket &ticket = attempt.ticket;
    const bool seen = report.sent && report.relayedSends != 0U;
    // A retry that is under way belongs to the standby, if there is one.
    if (seen && !standby_ && !attempt.isDropped) {
        noteRetryArrived();
    }
    const SteadyTime now = BootClock::now();
    const bool interrupted = interruption_ != Interruption::None || attempt.isDropped;
    const bool answered = report.end == AttemptEnd::Complete || report.bufferedAnswer;
    givePlaceBack(attempt.place, answered ? PlaceEnd::Answered : PlaceEnd::Unknown);
    if (report.end == AttemptEnd::NotRun) {
        refusedBy_.insert(attempt.triedAs);
    }
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
    if (target.upstream && answered) {
        gateway_.crashes_.recordCompleted(request_, callerName(), sharedParts(), now);
    }
    if (target.upstream && report.connectionBroke && !move_.stopOrdered()) {
        noteBrokenRun(attempt, now);
    }
    if (report.isRestOutOfOrder) {
        noteNoRest(attempt, report);
    }
    if (target.upstream && report.incarnationEnded) {
        gateway_.notices_.incarnationEnded(target.upstream->id, now);
    }
    if (target.upstream) {
        gateway_.rollouts_.ended(std::exchange(attempt.rollout, {}), sampleOf(attempt, report, now));
    }
    // Where no upstream of the service sent anything, the path may have failed, which tells nothing about the time of a prefill.
    const bool waited = interruption_ != Interruption::None && !ticket.upstream.empty() && !attempt.firstBytesAt
        && gateway_.reach_.heardSince(service_, ticket.sentAt);
    if (waited) {
        measureFirstToken(target, static_cast<double>(elapsedSince(ticket.sentAt).count()), true);
    }
    if (!ticket.upstream.empty()) {
        // A run that was stopped in order to be moved is no failure of its upstream.
        const bool turnedAway = report.end == AttemptEnd::NotRun || report.turnedAway;
        const LoadOutcome ended = report.end == AttemptEnd::Complete ? LoadOutcome::Answered
            : interrupted || move_.begun()                           ? LoadOutcome::Cancelled
            : turnedAway                                             ? LoadOutcome::TurnedAway
                                                                     : LoadOutcome::Failed;
        gateway_.loads_.ended(ticket, ended, now);
    }
    if (target.daemon && report.peerCutOff) {
        gateway_.regions_.markCutOff(target.daemon->id, bitOf(*gateway_.view_, service_));
    }
    if (target.daemon && report.peerOlder) {
        gateway_.regions_.markOlder(target.daemon->id, services_->version, now);
    }
    if (target.daemon && (report.peerCutOff || report.peerOlder || report.connectionRefused)) {
        noteUnfitPeer(attempt);
    }
    if (target.daemon && report.sent) {
        // A daemon that failed before it reported its sends is assumed to have sent the request once, as almost all do.
        sends_ += report.relayedSends.value_or(1);
    }
    if (report.end == AttemptEnd::Broken) {
        mayHaveRun_ = true;
    }
    // An upstream that was given up for another one may be asked again.
    if (report.end == AttemptEnd::Broken && !attempt.isDropped) {
        noteWhereItRan(attempt, report);
    }
}

void Exchange::noteNoRest(const Attempt &attempt, const AttemptReport &report) const
{
    gateway_.metrics_.count(Counter::RestsRejected);
    logEvent(LogEvent::RestRejected,
             { { "request", request_.id },
               { "target", attempt.plan.peer },
               { "address", attempt.plan.address },
               { "memory_from", attempt.plan.memoryFrom },
               { "relayed", request_.relayed ? "true" : "false" },
               { "begun", progress_.begun ? "true" : "false" },
               { "message", report.error.message } });
}

// What may have run the request must not run it again. A daemon that named the upstream avoids it, so that its region may be
// asked again. Where a daemon did not answer at all, another one of its region may.
void Exchange::noteWhereItRan(const Attempt &attempt, const AttemptReport &report)
{
    if (attempt.target.upstream) {
        ranAt_.push_back(upstreamKey(attempt.target.upstream->id));
    } else if (report.relayedSends.value_or(0) > 0 && !report.ranAt.empty()) {
        ranAt_.insert(ranAt_.end(), report.ranAt.begin(), report.ranAt.end());
        std::erase(tried_, attempt.triedAs);
    } else if (report.connectionBroke) {
        std::replace(tried_.begin(), tried_.end(), attempt.triedAs, attempt.target.daemon->id);
    }
}

/// Another daemon of its region may take the request; it asks only a few, since each costs a round trip.
void Exchange::noteUnfitPeer(const Attempt &attempt)
{
    if (++unfitPeers_ <= maxUnfitPeers) {
        const std::string &daemon = attempt.target.daemon->id;
        std::replace(tried_.begin(), tried_.end(), attempt.triedAs, daemon);
        refusedBy_.insert(daemon);
    }
}

// A new version is not blamed for what happens to any upstream: one that crashes, refuses a request, or is still cold.
std::optional<AnswerSample> Exchange::sampleOf(const Attempt &attempt, const AttemptReport &report, SteadyTime now) const
{
    const SteadyTime sentAt = attempt.ticket.sentAt;
    if (!report.sent || report.turnedAway || attempt.target.upstream->coldUntil > sentAt) {
        return std::nullopt;
    }
    if (report.bufferedAnswer) {
        return AnswerSample{ report.bufferedAnswer->status >= HttpStatus::internalError, now - sentAt };
    }
    // The route may be gone by now.
    return attempt.plan.streamed && attempt.firstBytesAt ? std::optional(AnswerSample{ false, *attempt.firstBytesAt - sentAt })
                                                         : std::nullopt;
}

void Exchange::noteBrokenRun(const Attempt &attempt, SteadyTime now)
{
    if (!attempt.firstBytesAt || now - *attempt.firstBytesAt < crashSuspicionTime) {
        gateway_.crashes_.recordBrokenRun(*attempt.target.upstream, { request_, callerName(), fingerprint(), sharedParts() },
                                          now);
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

} // namespace Portpaddle
