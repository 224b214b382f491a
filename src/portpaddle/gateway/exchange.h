// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// One request from its arrival to its final answer: placement, attempts, repeats, continued streams.
#pragma once

#include "portpaddle/base/log.h"
#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/retry_rules.h"
#include "portpaddle/gateway/run_move.h"
#include "portpaddle/gateway/upstream_attempt.h"

#include <memory>

namespace Portpaddle {

/// Lives as long as its request.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Gateway &gateway, CallerRequest request, CallerWriter &writer);

    Task<void> run();
    void callerLeft();
    /// Logs that the daemon ends before the answer does.
    void logUnfinished() const;
    /// Moves a stream in progress away from @p source, because that or this daemon is about to end.
    void moveAway(const UpstreamRecord &source);
    /// Whether the daemon that sent the request here can have its stream continued elsewhere.
    bool canHandOver() const;

private:
    /// An upstream that has less than this left cannot answer.
    static constexpr Millis shortestAttempt{ 5 };
    enum class Interruption { None, CallerLeft, Deadline };
    /// What one attempt leaves for the next decision.
    struct AttemptWatch;

    /// Waits a moment for the first configuration after a start; false if there is none.
    Task<bool> awaitConfiguration();
    /// Finds the route and the organisation in the newest configuration; answers and returns false where the request may not be
    /// served.
    Task<bool> findRoute();
    /// Finds whose request it is; answers and returns false where nobody's key came with it.
    Task<bool> findOrganisation();
    /// Counts the request against its organisation's limit; answers and returns false where that is spent.
    Task<bool> admitByLimit();
    /// No region may serve both the route and the organisation.
    bool hasNoHome() const;
    /// Answers and returns false where the request is held; see CrashGuard.
    Task<bool> passesQuarantine();
    unsigned priority() const;
    Gateway::ChoiceContext choiceContext() const;
    void startDeadline();
    /// Whether a stop that has begun leaves time for it; notes by when it has to be over.
    bool fitsStop();
    Error noPlace(ExclusionReason reason);
    /// When a request may come again that finds all upstreams held back.
    Millis heldBackReturn();
    /// The same after an attempt that was refused.
    Millis returnAfter(const AttemptReport &report);
    void interrupt(Interruption reason);
    Task<void> attempts();
    /// After a broken attempt: goes on where the run's memory was moved to, as often as it is moved.
    Task<AttemptReport> continueMoved(AttemptReport report, const Target &target);
    /// Waits for another daemon of the region of @p ending; no value where none is heard of in time.
    Task<std::optional<Target>> otherDaemon(const DaemonRecord &ending);
    /// The engine that a request with a continuation goes on at.
    Target chosenContinuation();
    /// Tells the daemon that sent the request here how its stream goes on.
    Task<void> handOver(const MovedRun &moved);
    Task<AttemptReport> attempt(const Target &target);
    Target chooseTarget();
    AttemptPlan planFor(const Target &target);
    /// @p goesOn: the target keeps the memory of the run.
    AttemptEvents eventsFor(const Target &target, LoadTicket &ticket, bool goesOn);
    void noteFirstEvent();
    void noteEnd(const Target &target, LoadTicket &ticket, const AttemptReport &report);
    /// Ends an attempt at an upstream that hangs, where another one may follow.
    void watchSilence(const std::shared_ptr<AttemptWatch> &watch);
    /// Upstreams that this daemon sent the request to.
    unsigned ownSends() const;
    /// An answer to another daemon says how many upstreams were asked here.
    void tellSends(WholeAnswer &answer) const;
    /// Nothing has reached the caller yet, or the rest of the stream may come from another upstream.
    bool canContinue() const;
    /// Another attempt is allowed, paid for, and has somewhere to go: without it the answer would be lost.
    bool anotherWillFollow();
    /// Whether another attempt may follow @p report.
    bool mayRetry(const AttemptReport &report);
    /// Takes what the next attempt costs; false where nothing is left.
    bool payForRetry();
    /// Takes it whatever is left, for a run that goes on elsewhere.
    void payForMovedRun();
    /// What was paid for is under way from now on.
    void beginRetry();
    /// The attempt that was paid for has reached its upstream, if it ever will.
    void noteRetryArrived();
    /// No attempt followed that could have reached one.
    void refundRetry();
    /// Whether room may come in time where there is none for @p reason.
    bool mayWaitForRoom(ExclusionReason reason) const;
    /// How long the request may still wait for room.
    Millis waitLeft() const;
    /// Waits a moment for room; false when the request has waited long enough.
    Task<bool> waitForRoom();
    Task<void> finish(const AttemptReport &report);
    Task<void> refuse(ErrorCode code, std::string message, Millis retryAfter);
    Task<void> fail(unsigned status, std::string message);
    void log(LogEvent event, unsigned status, const std::string &message) const;
    /// The request was sent more than once, or was not for want of budget.
    bool tellsBudget() const;
    Millis timeLeft() const;
    Millis suggestedReturn() const;
    /// Whose request it is: the organisation, or the credentials where none is known.
    std::string_view callerName() const;
    const RequestFingerprint &fingerprint();
    /// Upstreams ended under this request, and it is not to be sent to any more.
    bool isHeld();
    /// Tells of a run whose connection broke, unless it had gone on for so long that it cannot be what ended its upstream.
    void noteBrokenRun(const UpstreamRecord &upstream, SteadyTime now);

    Gateway &gateway_;
    CallerRequest request_;
    CallerWriter &writer_;
    StreamProgress progress_;
    std::shared_ptr<const ServiceMap> services_;
    const Route *route_ = nullptr;
    /// Null where the route is public, or another daemon vouches for one that is not known here.
    const Organisation *organisation_ = nullptr;
    /// What upstreams and other daemons are told.
    std::string organisationName_;
    /// What it was counted as against the organisation's limit; zero where it was not.
    double countedUnits_ = 0;
    std::string service_;
    SteadyTime deadline_;
    /// It was taken on the prediction that it is over then.
    SteadyTime overBy_ = SteadyTime::max();
    SteadyTimer deadlineTimer_;
    SteadyTimer roomTimer_;
    SteadyTimer silenceTimer_;
    RunMove move_;
    /// For the next attempt: where the memory of the run was moved from.
    std::string memoryFrom_;
    /// The same where a daemon of another region goes on.
    std::optional<Continuation> continuation_;
    /// The rest of the stream is for the daemon that sent the request here to have continued.
    bool handedOver_ = false;
    UpstreamAttempt *current_ = nullptr;
    Interruption interruption_ = Interruption::None;
    /// Upstreams and regions asked so far.
    std::vector<std::string> tried_;
    /// The same for the log, with the daemons of the regions.
    std::string asked_;
    /// Upstreams that all daemons sent it to.
    unsigned sends_ = 0;
    /// Where a repeat that was paid for is still to arrive; the payment holds until something is sent.
    std::optional<std::string> retryUnderWay_;
    /// When it was paid for.
    SteadyTime retryTakenAt_;
    /// What paid for the last attempt.
    RetryPayment payment_ = RetryPayment::Nobody;
    /// Why no attempt followed the last one.
    RetryDenial retryDenial_ = RetryDenial::None;
    double predictedMs_ = 0;
    /// Made when it is first needed.
    std::optional<RequestFingerprint> fingerprint_;
    /// The first event of the attempt in progress.
    std::optional<SteadyTime> attemptBegan_;
    /// From arrival to the first event; zero before it.
    double firstEventMs_ = 0;
    /// Whole events of the answer so far.
    std::size_t eventsSeen_ = 0;
    /// Some upstream may have run it.
    bool mayHaveRun_ = false;
};

} // namespace Portpaddle
