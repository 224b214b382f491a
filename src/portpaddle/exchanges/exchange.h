// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Handles one request from its arrival to its final answer: placement, attempts, retries, continued streams.
#pragma once

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/base/log.h"
#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/exchanges/retry_rules.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/streams/run_move.h"

#include <memory>
#include <set>

namespace Portpaddle {

/// Handles one request; the object lives until the request has its final answer.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Gateway &gateway, CallerRequest request, CallerWriter &writer);

    Task<void> run();
    void callerLeft();
    /// Logs that this daemon stops before the answer is complete.
    void logUnfinished() const;
    /// Ends the request, if no answer has begun, with one that says whether it may have run.
    void endUnanswered();
    /// Ends a request that @p exception has left: with an answer that says whether it may have run, or by closing the connection
    /// if an answer has begun.
    Task<void> endAfter(const std::exception_ptr &exception);
    /// Begins to move a stream in progress away from @p source, because either that engine or this daemon is about to stop.
    /// Returns false if no move began. Orders are repeated until @p until.
    bool moveAway(const UpstreamRecord &source, MoveWay way, SteadyTime until);
    /// Whether the daemon that forwarded the request can have the stream continued elsewhere.
    bool canHandOver() const;
    /// Tells other daemons which version began the stream, unless they were told or know it.
    void announceStream(SteadyTime now);

private:
    /// An upstream cannot answer within less time than this, so no attempt begins.
    static constexpr Millis minAttemptTime{ 5 };
    enum class Interruption { None, CallerLeft, Deadline, Stopping };
    /// One attempt: its target, what is counted for it, and its connection.
    struct Attempt;
    /// State of the check whether the upstream of the attempt in progress hangs.
    struct SilenceWatch;
    /// An attempt that is prepared while the upstream of the one in progress is silent.
    struct Standby;

    /// Waits for the first configuration after a start, or for the one under which another daemon accepted the request; returns
    /// false if none arrives in time.
    Task<bool> awaitConfiguration();
    /// Returns how long the request may wait for a configuration.
    Millis configurationWait() const;
    /// Whether another daemon accepted the request under a newer configuration than the one in force.
    bool wasAcceptedUnderNewer() const;
    /// Looks up the route and the organisation in the newest configuration. Answers the caller and returns false if the request
    /// may not be served.
    Task<bool> findRoute();
    /// As findRoute(), for another attempt at a request of which the caller has received nothing.
    Task<bool> findRouteAgain();
    /// Whether the caller takes up a stream of which it has a part.
    bool takesUpStream() const;
    StreamKey streamKey() const;
    /// Finds out which version began the stream that is taken up. Answers the caller and returns false if that is not known.
    Task<bool> findStreamVersion();
    /// Identifies the organisation by the key. Answers the caller and returns false if no organisation has the key.
    Task<bool> findOrganisation();
    /// Counts the request against its organisation's limit. Answers the caller and returns false if the limit is exhausted.
    Task<bool> admitByLimit();
    /// Whether no region may serve both the route and the organisation.
    bool hasNoAllowedRegion() const;
    /// Answers the caller and returns false if the request is quarantined; see CrashGuard.
    Task<bool> passesQuarantine();
    RequestPriority priority() const;
    Gateway::ChoiceContext choiceContext() const;
    /// Returns what the answer to an attempt tells about the version of its upstream; no value if nothing.
    std::optional<AnswerSample> sampleOf(const Attempt &attempt, const AttemptReport &report, SteadyTime now) const;
    void startDeadline();
    /// Whether the request may be accepted during a stop; sets latestPredictedEnd_ if this depends on the prediction.
    bool fitsStopDeadline();
    /// Whether the request, which has not run, must not be sent any more because of a stop.
    bool isTooLateToRun();
    /// As isTooLateToRun(), for the attempt of @p plan. One beside another is made for a request that may have run.
    bool isTooLateToSend(const AttemptPlan &plan);
    Error stoppingError() const;
    /// Takes a place at the upstream of @p target if its service is brittle; returns false if there is none.
    Task<bool> takePlace(const Target &target, std::optional<HeldPlace> &place);
    void givePlaceBack(std::optional<HeldPlace> &place, PlaceEnd end);
    /// Records that a brittle upstream rejected the request of @p attempt, if @p notice says so.
    void noteRejection(Attempt &attempt, const AnswerNotice &notice);
    /// Returns the error for a request that has no possible target for @p reason.
    Error noTargetError(ExclusionReason reason);
    /// Returns the Retry-After for a request of a service whose upstreams all ask for time or are at their limits.
    Millis retryAfterBackoff();
    /// Returns the Retry-After for a request whose last attempt ended with @p report.
    Millis retryAfterFor(const AttemptReport &report);
    void interrupt(Interruption reason);
    Task<void> runAttempts();
    /// Continues a broken run whose memory was moved, by this daemon or by the one that @p target names.
    Task<AttemptReport> continueMovedRun(AttemptReport report, const Target &target);
    /// Continues a run that this daemon moved, at the engine that has the copy or at its first engine.
    Task<AttemptReport> continueOwnMove(AttemptReport report);
    /// Continues a run that the daemon of @p last handed over; sets @p last to the daemon asked.
    Task<AttemptReport> continueThroughOther(AttemptReport report, std::optional<Target> &last);
    /// Pays for an attempt that continues a moved run from @p memorySource, and logs it.
    void payForContinuation(const std::string &memorySource);
    /// Waits for another daemon in the region of @p ending; returns no value if none is known in time.
    Task<std::optional<Target>> awaitOtherDaemon(const DaemonRecord &ending);
    /// Returns the engine at which the request's continuation resumes; not servable if this region does not know the engine.
    Target continuationTarget();
    /// Ends the answer with a trailer that names where the forwarding daemon can resume the stream.
    Task<void> handOver(const MovedRun &moved);
    /// Makes an attempt at @p target, and goes on with the one that replaces it if its upstream falls silent.
    Task<AttemptReport> attempt(Target target);
    /// Prepares an attempt at @p target, which holds @p place.
    std::shared_ptr<Attempt> makeAttempt(Target target, std::optional<HeldPlace> place);
    /// Performs @p attempt as the one in progress; @p standby is set if that has begun to start it.
    Task<AttemptReport> perform(std::shared_ptr<Attempt> attempt, std::shared_ptr<Standby> standby);
    /// Whether an order of this daemon may have stopped the run of @p attempt.
    bool mayBeStopped(const Attempt &attempt) const;
    /// Returns @p report, or that of a broken answer if nothing proves that the answer to @p attempt is whole. An exception
    /// becomes the report of a failed attempt.
    Task<AttemptReport> proveEnd(Attempt &attempt, AttemptReport report);
    /// Returns why the end of its connection may not be the end of the answer to @p attempt; empty if it is.
    Task<std::string> doubtAboutEnd(const Attempt &attempt);
    /// Whether the process of @p upstream may have ended by now: it announced that, has ended before, or is gone from the list.
    bool mayHaveEnded(const UpstreamRecord &upstream) const;
    /// Asks whether @p upstream accepts connections some time after it has closed one; returns why it seems to have ended, or
    /// nothing.
    Task<std::string> signOfProcessEnd(const UpstreamRecord &upstream);
    /// Whether another upstream is listed at the address of @p upstream.
    bool isAddressReused(const UpstreamRecord &upstream) const;
    /// Whether the standby takes the place of the attempt that ended with @p report.
    bool needsStandby(const AttemptReport &report);
    Target chooseTarget();
    AttemptPlan planFor(const Target &target);
    /// Returns the callbacks of @p attempt, which must outlive them.
    AttemptCallbacks callbacksFor(Attempt &attempt);
    AttemptCallbacks remoteCallbacksFor(Attempt &attempt);
    bool maySend(const Attempt &attempt);
    void noteSending(Attempt &attempt);
    void noteHead(Attempt &attempt, const AnswerNotice &notice);
    void noteAnswerBegins(const Attempt &attempt);
    void noteFirstEvent(Attempt &attempt);
    /// Records that the first token of an attempt took @p ms, or would have taken longer if @p unfinished.
    void measureFirstToken(const Target &target, double ms, bool unfinished);
    /// Records that @p count whole events of the answer arrived.
    void noteEvents(std::size_t count);
    /// Performs the attempt, or receives the answer of @p standby unless it is null. An exception becomes the report of a failed
    /// attempt.
    Task<AttemptReport> bringAnswer(Attempt &attempt, Standby *standby);
    /// Starts a prepared attempt; an exception becomes the report of a failed attempt.
    Task<std::optional<AttemptReport>> startSending(Attempt &attempt);
    /// Ends the attempt that @p exception has left, logs that and returns its report.
    AttemptReport reportOf(const std::exception_ptr &exception, Attempt &attempt) const;
    void noteAttemptEnd(Attempt &attempt, const AttemptReport &report);
    /// Prepares another attempt when the upstream of the one in progress hangs.
    void watchSilence(const std::shared_ptr<SilenceWatch> &watch);
    /// Begins to prepare an attempt beside the one in progress, if one is possible.
    void beginStandby();
    Task<void> startStandby(std::shared_ptr<Standby> standby, Target target);
    /// Ends the start of @p standby: it takes over, or another one is prepared.
    void noteStandbyStarted(const std::shared_ptr<Standby> &standby);
    /// Decides after a short time which of the two upstreams goes on, if the answer of @p standby has not begun by then.
    void limitSharedRun(const std::shared_ptr<Standby> &standby);
    /// Whether the silent upstream has shown life since @p standby was sent, or the new one shows less than others there would.
    bool isCurrentLivelier(const Standby &standby);
    /// Whether another attempt may take the place of the one in progress.
    bool mayReplaceCurrent();
    /// Ends the attempt in progress, so that the standby takes its place.
    void replaceCurrent();
    /// Gives the prepared attempt up, because the one in progress goes on or the request has ended.
    void dropStandby();
    /// Ends a standby that was given up and is no longer being started.
    void endDropped(Attempt &attempt, std::optional<AttemptReport> failure);
    void settleRetry(const Attempt &attempt);
    /// Records where an attempt that broke may have run the request.
    void noteWhereItRan(const Attempt &attempt, const AttemptReport &report);
    /// Logs and counts an answer that is no rest of the stream.
    void noteNoRest(const Attempt &attempt, const AttemptReport &report) const;
    /// Records that the daemon of @p attempt did not take the request for a reason that concerns itself and not its region.
    void noteUnfitPeer(const Attempt &attempt);
    /// Returns the number of times that this daemon sent the request to an upstream.
    unsigned sendsByThisDaemon() const;
    /// Adds what this daemon sent to an answer that goes to another daemon.
    void setRelayHeaders(WholeAnswer &answer) const;
    /// Whether nothing has reached the caller yet, or the rest of the stream may come from another upstream.
    bool canContinue() const;
    /// Whether the caller has a part of a stream that this daemon can have continued: nothing but its time ends such a stream.
    bool holdsBegunStream() const;
    /// Returns the number of upstreams that count as attempts.
    unsigned attemptsUsed() const;
    /// Whether it is being found out whether an upstream that was asked has ended.
    bool awaitsNewsOfUpstream() const;
    /// Whether an upstream that was asked has ended or may have, so that another one may take its place.
    bool mayBeReplaced() const;
    /// Whether another attempt would be allowed, has budget and has a target; otherwise an interruption would lose the answer.
    bool canAttemptAgain();
    /// Whether another attempt may follow @p report.
    bool mayRetry(const AttemptReport &report);
    /// As mayRetry(); a stream that has begun waits for what is missing.
    Task<bool> awaitRetry(const AttemptReport &report);
    /// Waits for an upstream that goes on with a stream that has begun; returns false if there will be none.
    Task<bool> waitForRest(ExclusionReason reason);
    /// Waits for @p time, or less if the exchange is interrupted.
    Task<void> pause(Millis time);
    /// Takes the budget for the next attempt; returns false if none is left.
    bool payForRetry();
    /// Takes budget for an attempt at a run that this daemon stopped, even if none is left.
    void payForMovedRun();
    /// Records that a paid retry is in progress.
    void beginRetry();
    /// Records that the paid retry in progress, if any, has reached its upstream.
    void noteRetryArrived();
    /// Refunds the budget of a retry that reached no upstream.
    void refundRetry();
    /// Waits until a target may be found, where there is none now for @p reason; returns false if none will be in time.
    Task<bool> waitForTarget(ExclusionReason reason);
    /// Whether capacity may become free in time if there is none now for @p reason.
    bool mayWaitForCapacity(ExclusionReason reason) const;
    /// Returns how long the request may still wait for capacity; zero or less if no longer.
    Millis capacityWaitLeft() const;
    /// Waits one polling interval for capacity; returns false when the request has waited for its maximum.
    Task<bool> waitForCapacity();
    /// Sends the one whole answer.
    Task<bool> answerWhole(WholeAnswer answer);
    /// Gives back what is held for an attempt that will not begin.
    void releaseHeld();
    Task<void> finish(AttemptReport report);
    /// Answers that the request has not run and will not run; ends an answer that has begun.
    Task<void> refuse(ErrorCode code, std::string message, Millis retryAfter);
    /// Answers with the failure @p status; ends an answer that has begun.
    Task<void> fail(unsigned status, std::string message);
    /// Ends an answer that has begun so that it does not look complete.
    void endBegun(const std::string &message);
    void log(LogEvent event, unsigned status, const std::string &message) const;
    /// Whether the log line includes the retry budget: the request was sent more than once, or a retry lacked budget.
    bool logsBudget() const;
    Millis timeLeft() const;
    /// Returns the Retry-After when nothing is known of when the request could be served.
    Millis suggestedRetryAfter() const;
    /// Returns the organisation's name, or the credentials if the organisation is unknown.
    std::string_view callerName() const;
    const RequestFingerprint &fingerprint();
    /// Returns the fingerprints of the parts of the prompt that others may share.
    const std::vector<RequestFingerprint> &sharedParts();
    /// Whether the request is quarantined because upstreams crashed while running it.
    bool isRequestQuarantined();
    /// Reports a run whose connection broke, unless it ran for so long that it cannot be the cause of a crash.
    void noteBrokenRun(const Attempt &attempt, SteadyTime now);

    Gateway &gateway_;
    CallerRequest request_;
    CallerWriter &writer_;
    StreamProgress progress_;
    std::shared_ptr<const ServiceMap> services_;
    const Route *route_ = nullptr;
    /// Null if the route is public, or if another daemon named an organisation that this configuration does not know.
    const Organisation *organisation_ = nullptr;
    /// The organisation's name as sent to upstreams and other daemons.
    std::string organisationName_;
    /// Units counted against the organisation's limit; zero if the request was not counted.
    double countedUnits_ = 0;
    std::string service_;
    /// The service at which the version of the stream was looked up.
    std::string versionService_;
    /// Other daemons were told which version began the stream.
    bool isAnnounced_ = false;
    SteadyTime deadline_;
    /// During a stop: targets are chosen only if the request is predicted to end by then.
    SteadyTime latestPredictedEnd_ = SteadyTime::max();
    SteadyTimer deadlineTimer_;
    SteadyTimer pollTimer_;
    SteadyTimer silenceTimer_;
    RunMove move_;
    /// The source of the moved memory from which the next attempt continues; empty if it starts anew.
    std::string memoryFrom_;
    /// The place at a brittle upstream for the attempt that follows.
    std::optional<HeldPlace> place_;
    /// The continuation that a daemon of another region resumes, or that this daemon was asked to resume.
    std::optional<Continuation> continuation_;
    /// Whether the stream was handed over to the forwarding daemon, which lets it continue elsewhere.
    bool handedOver_ = false;
    std::shared_ptr<Attempt> current_;
    std::shared_ptr<Standby> standby_;
    /// The target of the attempt that ended last, and what delimited its answer.
    Target lastTarget_;
    BodyFraming lastFraming_ = BodyFraming::None;
    Interruption interruption_ = Interruption::None;
    /// Ids of the upstreams, names of the regions and ids of the daemons asked so far.
    std::vector<std::string> tried_;
    /// Those among them that refused the request.
    std::set<std::string> refusedBy_;
    /// The upstreams of any region that may have run the request.
    UpstreamKeys ranAt_;
    /// Number of daemons that did not take the request for reasons of their own.
    unsigned unfitPeers_ = 0;
    /// Targets asked so far, for the log; another region as "REGION/DAEMON".
    std::string askedTargets_;
    /// Versions of the upstreams among them, for the log.
    std::string askedVersions_;
    /// Number of times that any daemon sent the request to an upstream.
    unsigned sends_ = 0;
    /// The upstreams to which this daemon sent the request, and how many of these sends went to one of them again.
    std::set<std::string> askedUpstreams_;
    unsigned repeatedSends_ = 0;
    /// The run was stopped by an order of this daemon, which therefore owes the caller its continuation.
    bool isOwnStop_ = false;
    /// Decides which version of a service that is rolled out the first attempt is sent to.
    double versionChance_;
    /// The service of a paid retry that has not reached its upstream; the payment covers attempts until one does.
    std::optional<std::string> retryUnderWay_;
    /// When that retry was paid for.
    SteadyTime retryTakenAt_;
    /// The source of the budget for the last attempt.
    RetryPayment payment_ = RetryPayment::Nobody;
    /// Why no attempt followed the last one.
    RetryDenial retryDenial_ = RetryDenial::None;
    /// The last choice of a target.
    Placement placement_;
    /// Computed when it is first needed.
    std::optional<RequestFingerprint> fingerprint_;
    std::optional<std::vector<RequestFingerprint>> sharedParts_;
    /// Milliseconds from the request's arrival to the first event; zero before it.
    double firstEventMs_ = 0;
    /// Number of complete events of the answer so far, including those that the caller received before the request came here.
    std::size_t eventsSeen_ = 0;
    /// When the last of them arrived, and the longest time between two of them.
    std::optional<SteadyTime> lastEventAt_;
    SteadyTime::duration longestPause_{};
    /// Some upstream may have run the request.
    bool mayHaveRun_ = false;
    /// A whole answer is being sent or was sent.
    bool answering_ = false;
};

} // namespace Portpaddle
