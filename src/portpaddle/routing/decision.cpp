// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/routing/decision.h"

#include "portpaddle/base/name_table.h"
#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Portpaddle {

namespace {

constexpr NameTable<Verdict, 4> verdictNames{ { "serve", "forward", "wait", "refuse" } };
constexpr NameTable<ExclusionReason, 18> lossReasonNames{ { "chosen", "leaving", "unhealthy", "version_absent", "already_tried",
                                                            "full", "worse_score", "residency_forbids", "already_visited",
                                                            "hop_limit", "unreachable", "no_capacity", "stale", "share_spent",
                                                            "margin_not_reached", "too_late", "upstream_limit", "backing_off" } };

/// Part of a prompt that the engine ranked first by rendezvous is expected to hold.
constexpr double expectedPrefixHit = 0.9;
/// Predicted slow-down of a token stream on a full engine against an empty one, in ms to the first token.
constexpr double fullBatchPenaltyMs = 40;
/// What one request served in another region costs in the operator's currency, in ms.
constexpr double awayUnitMs = 100;
/// Part of the slots that deferrable work leaves free for interactive requests.
constexpr double interactiveReserve = 0.25;
/// Load above the slots that an engine may be given: its own queue keeps the batch full between two reports.
constexpr double engineQueueAllowance = 0.125;
/// Remote summaries older than this are not acted on.
constexpr Millis oldestSummary{ 15'000 };
constexpr double plainServiceMs = 20;
/// What latency counts for work that may wait, against work that somebody waits for.
constexpr double deferrableLatencyPart = 0.2;
/// Until the next reports, when a full engine may have room.
constexpr double usualWaitMs = 300;
constexpr double usualAnswerTokens = 256;
/// A data centre that is busier than this is taken to send requests away itself.
constexpr double overflowingPart = 0.9;
constexpr Millis shortestRetryAfter{ 250 };
constexpr Millis longestRetryAfter{ 30'000 };

/// Works out one decision; lives only for the call.
class Decider
{
public:
    Decider(const RoutingSnapshot &snapshot, const RequestFacts &facts, const OwnDispatches &own, Millis now,
            RandomSource &random)
        : snapshot_(snapshot)
        , facts_(facts)
        , own_(own)
        , now_(now)
        , random_(random)
        , policy_(snapshot.settings->policy(facts.organisation, facts.service))
        , routes_(snapshot.routesOf(facts.service))
    {
        const ServiceSettings *service = snapshot.settings->service(facts.service);
        isModel_ = service == nullptr || service->kind == ServiceKind::Model;
        const bool interactive = policy_.requestClass == RequestClass::Interactive;
        const double age = static_cast<double>((now - facts.arrivedAt).count()) / static_cast<double>(deferrableAging.count());
        reserve_ = interactive ? 0 : interactiveReserve * std::clamp(1 - age, 0.0, 1.0);
        mayWait_ = !interactive && age < 1;
    }

    Decision run()
    {
        decision_.candidates.reserve(routes_.local.size() + routes_.remote.size());
        if (!policy_.allowsRegion(snapshot_.settings->place().region)) {
            // The body must not be read here, so neither local engines nor waiting are open; sending on is not either,
            // because this daemon would have to touch the data.
            return refuse(ErrorCode::ResidencyForbids);
        }
        rankPrefixHolders();
        considerLocal();
        considerRemote();
        return conclude();
    }

private:
    void rankPrefixHolders()
    {
        double best = -std::numeric_limits<double>::infinity();
        for (std::size_t position = 0; position < routes_.local.size() && isModel_; ++position) {
            const UpstreamView &view = snapshot_.upstreams[routes_.local[position].upstream];
            if (view.leaving != LeavingSignal::None || !view.healthy) {
                continue;
            }
            const double draw = rendezvousScore(facts_.prefixHash, view.idHash, view.slots);
            if (draw > best) {
                best = draw;
                prefixHolder_ = position;
            }
        }
    }

    void considerLocal()
    {
        for (std::size_t position = 0; position < routes_.local.size(); ++position) {
            const ServiceCandidate &candidate = routes_.local[position];
            const UpstreamView &view = snapshot_.upstreams[candidate.upstream];
            CandidateOutcome outcome;
            outcome.index = candidate.upstream;
            outcome.reason = exclusionOf(candidate, view);
            if (outcome.reason == ExclusionReason::None) {
                scoreLocal(view, position, outcome);
            }
            keepBest(outcome, bestLocal_);
        }
    }

    ExclusionReason exclusionOf(const ServiceCandidate &candidate, const UpstreamView &view) const
    {
        if (view.leaving != LeavingSignal::None) {
            return ExclusionReason::Leaving;
        }
        if (!view.healthy) {
            return ExclusionReason::Unhealthy;
        }
        if (!policy_.version.empty() && candidate.version != policy_.version) {
            return ExclusionReason::VersionAbsent;
        }
        const bool tried = std::find(facts_.tried.begin(), facts_.tried.end(), view.id) != facts_.tried.end();
        return tried ? ExclusionReason::AlreadyTried : ExclusionReason::None;
    }

    void scoreLocal(const UpstreamView &view, std::size_t position, CandidateOutcome &outcome)
    {
        const double slots = std::max(1.0, view.slots * view.admitted);
        const double own = outcome.index < own_.upstreams.size() ? own_.upstreams[outcome.index] : 0;
        const bool interactive = policy_.requestClass == RequestClass::Interactive;
        const double queued = view.load.queuedInteractive + (interactive ? 0 : view.load.queuedDeferrable);
        const double busy = view.load.running + queued + own;
        const double usable = slots * (1.0 - reserve_);
        const double wait = expectedExcess(busy + 1 - usable, slots) * turnoverMs() / slots;
        const double cold = prefillMs(position == prefixHolder_ ? 1.0 - expectedPrefixHit : 1.0);
        const double batch = isModel_ ? fullBatchPenaltyMs * std::min(1.0, busy / slots) : plainServiceMs * busy / slots;
        outcome.waitMs = static_cast<float>(wait);
        outcome.prefillMs = static_cast<float>(cold);
        outcome.score = static_cast<float>(latencyWeight() * (wait + cold + batch) + policy_.costWeight * cold);
        shortestWait_ = std::min(shortestWait_, wait);
        if (busy + 1 > usable + slots * engineQueueAllowance || !withinLocalShare(usable - view.load.running - queued, own)) {
            outcome.reason = ExclusionReason::Full;
            fullScore_ = std::min(fullScore_, static_cast<double>(outcome.score));
        }
    }

    void considerRemote()
    {
        for (std::size_t position = 0; position < routes_.remote.size(); ++position) {
            const RemoteView &view = routes_.remote[position];
            CandidateOutcome outcome;
            outcome.index = static_cast<std::uint32_t>(position);
            outcome.remote = true;
            outcome.reason = exclusionOf(view);
            if (outcome.reason == ExclusionReason::None) {
                scoreRemote(view, outcome);
            }
            keepBest(outcome, bestRemote_);
        }
    }

    ExclusionReason exclusionOf(const RemoteView &view) const
    {
        if (!policy_.allowsRegion(view.region)) {
            return ExclusionReason::ResidencyForbids;
        }
        if (std::find(facts_.visited.begin(), facts_.visited.end(), view.dataCentre) != facts_.visited.end()) {
            return ExclusionReason::AlreadyVisited;
        }
        if (facts_.visited.size() >= policy_.hopLimit) {
            return ExclusionReason::HopLimit;
        }
        if (!view.reachable) {
            return ExclusionReason::Unreachable;
        }
        if (now_ - view.observedAt > oldestSummary) {
            return ExclusionReason::Stale;
        }
        const bool hasVersion = policy_.version.empty()
            || std::find(view.versions.begin(), view.versions.end(), policy_.version) != view.versions.end();
        if (!hasVersion) {
            return ExclusionReason::VersionAbsent;
        }
        return view.capacity == 0 ? ExclusionReason::NoCapacity : ExclusionReason::None;
    }

    void scoreRemote(const RemoteView &view, CandidateOutcome &outcome)
    {
        const std::string &here = snapshot_.settings->place().region;
        const double own = view.slot < own_.remotes.size() ? own_.remotes[view.slot] : 0;
        const double busy = view.busy + view.queued + own;
        const double capacity = view.capacity * (1.0 - reserve_);
        const double wait = expectedExcess(busy + 1 - capacity, view.capacity) * turnoverMs() / view.capacity;
        const double link = 2 * snapshot_.settings->linkMs(here, view.region);
        const double cold = prefillMs(1.0);
        const double away = view.region == here ? 0 : policy_.awayWeight * awayUnitMs;
        const double batch = fullBatchPenaltyMs * std::min(1.0, busy / view.capacity);
        outcome.waitMs = static_cast<float>(wait + link);
        outcome.prefillMs = static_cast<float>(cold);
        outcome.score = static_cast<float>(latencyWeight() * (wait + link + cold + batch) + policy_.costWeight * cold + away);
        if (!withinShare(view, capacity - view.busy - view.queued, own)) {
            outcome.reason = ExclusionReason::ShareSpent;
            // The next summary brings a new share: waiting for it here beats a refusal.
            shortestWait_ = std::min(shortestWait_, wait);
        }
    }

    /// Work that may wait is not sent on the strength of a report that all daemons here read alike: each takes its share of
    /// the free slots, or what is kept free for interactive requests would be overrun between two reports.
    bool withinLocalShare(double free, double own)
    {
        return !mayWait_ || takesShare(free / std::max(1U, snapshot_.localDaemons), own);
    }

    /// Whether one more fits a share; of a fraction by chance.
    bool takesShare(double share, double own)
    {
        const double left = share - own;
        return left >= 1 || (left > 0 && random_.fraction() < left);
    }

    /// Every daemon outside acts on the same summary: each takes only its share of the free slots, a fraction by chance.
    bool withinShare(const RemoteView &target, double free, double own)
    {
        if (free <= 0) {
            return false;
        }
        return takesShare(free / sendersBeside(target), own);
    }

    /// Daemons that may be sending to @p target now: those here, and those of other data centres that are full too.
    unsigned sendersBeside(const RemoteView &target) const
    {
        unsigned senders = std::max(1U, snapshot_.localDaemons);
        for (const RemoteView &view : routes_.remote) {
            const bool overflowing = view.busy + view.queued >= overflowingPart * view.capacity;
            if (view.dataCentre != target.dataCentre && overflowing) {
                senders += view.daemons;
            }
        }
        return senders;
    }

    void keepBest(const CandidateOutcome &outcome, std::optional<std::size_t> &best)
    {
        decision_.candidates.push_back(outcome);
        if (outcome.reason != ExclusionReason::None) {
            return;
        }
        const std::size_t mine = decision_.candidates.size() - 1;
        if (!best) {
            best = mine;
            return;
        }
        CandidateOutcome &previous = decision_.candidates[*best];
        const bool better = outcome.score < previous.score || (outcome.score == previous.score && random_.below(2) == 0);
        if (better) {
            previous.reason = ExclusionReason::WorseScore;
            best = mine;
        } else {
            decision_.candidates[mine].reason = ExclusionReason::WorseScore;
        }
    }

    Decision conclude()
    {
        if (bestRemote_ && !remoteWins()) {
            decision_.candidates[*bestRemote_].reason = ExclusionReason::MarginNotReached;
            bestRemote_.reset();
        }
        if (bestRemote_) {
            if (bestLocal_) {
                decision_.candidates[*bestLocal_].reason = ExclusionReason::WorseScore;
            }
            return choose(Verdict::Forward, *bestRemote_);
        }
        if (bestLocal_ && !worthWaiting()) {
            return choose(Verdict::Serve, *bestLocal_);
        }
        return waitOrRefuse();
    }

    bool remoteWins() const
    {
        const double remote = decision_.candidates[*bestRemote_].score + policy_.awayMarginMs;
        if (bestLocal_) {
            return remote < decision_.candidates[*bestLocal_].score;
        }
        // Work that may wait is not worth a cold cache and a slow link while its own engines are merely busy.
        const bool hasFullLocal = std::isfinite(fullScore_);
        return !hasFullLocal || remote < fullScore_;
    }

    /// Work that may wait does so for the engine that holds its prefix rather than be read anew elsewhere.
    bool worthWaiting() const
    {
        return mayWait_ && fullScore_ + latencyWeight() * usualWaitMs < decision_.candidates[*bestLocal_].score;
    }

    Decision choose(Verdict verdict, std::size_t candidate)
    {
        decision_.verdict = verdict;
        decision_.target = decision_.candidates[candidate].index;
        return std::move(decision_);
    }

    Decision waitOrRefuse()
    {
        if (!std::isfinite(shortestWait_)) {
            return refuse(nothingUsable());
        }
        const bool patient = policy_.requestClass == RequestClass::Deferrable || shortestWait_ <= policy_.queueLimit.count();
        if (!patient) {
            const Millis wait{ static_cast<std::int64_t>(shortestWait_) };
            decision_.retryAfter = std::clamp(wait, shortestRetryAfter, longestRetryAfter);
            return refuse(ErrorCode::Overloaded);
        }
        decision_.verdict = Verdict::Wait;
        return std::move(decision_);
    }

    ErrorCode nothingUsable() const
    {
        const bool onlyResidency = routes_.local.empty() && !routes_.remote.empty()
            && std::all_of(decision_.candidates.begin(), decision_.candidates.end(),
                           [](const CandidateOutcome &outcome) { return outcome.reason == ExclusionReason::ResidencyForbids; });
        return onlyResidency ? ErrorCode::ResidencyForbids : ErrorCode::NoUpstream;
    }

    Decision refuse(ErrorCode code)
    {
        decision_.verdict = Verdict::Refuse;
        decision_.refusal = code;
        if (code == ErrorCode::NoUpstream) {
            decision_.retryAfter = Millis{ 1000 };
        }
        return std::move(decision_);
    }

    double prefillMs(double uncached) const
    {
        return isModel_ ? 1000.0 * facts_.promptTokens * uncached / policy_.prefillTokensPerSecond : 0;
    }

    double latencyWeight() const
    {
        return policy_.latencyWeight * (policy_.requestClass == RequestClass::Interactive ? 1 : deferrableLatencyPart);
    }

    /// How long requests hold a slot; what holds the slots now is not this request but the usual mix.
    double turnoverMs() const
    {
        return isModel_ ? policy_.tokenMs * usualAnswerTokens : plainServiceMs;
    }

    /// Requests ahead of this one beyond the slots. Reports are late: close to full, an engine may be full by now, so that the
    /// expectation rises smoothly before the slots run out, over about a slot, and over less on small engines.
    static double expectedExcess(double excess, double slots)
    {
        constexpr double certain = 20;
        const double width = std::clamp(slots / 8, 0.1, 1.0);
        return excess > certain ? excess : width * std::log1p(std::exp(excess / width));
    }

    const RoutingSnapshot &snapshot_;
    const RequestFacts &facts_;
    const OwnDispatches &own_;
    const Millis now_;
    RandomSource &random_;
    const RequestPolicy &policy_;
    const ServiceRoutes &routes_;
    bool isModel_ = true;
    /// Part of the slots that this request must leave free.
    double reserve_ = 0;
    /// Deferrable and not aged yet.
    bool mayWait_ = false;
    std::size_t prefixHolder_ = std::numeric_limits<std::size_t>::max();
    std::optional<std::size_t> bestLocal_;
    std::optional<std::size_t> bestRemote_;
    double shortestWait_ = std::numeric_limits<double>::infinity();
    double fullScore_ = std::numeric_limits<double>::infinity();
    Decision decision_;
};

} // namespace

std::string_view nameOf(Verdict verdict)
{
    return verdictNames[verdict];
}

std::string_view nameOf(ExclusionReason reason)
{
    return lossReasonNames[reason];
}

std::string_view settingBehind(ExclusionReason reason)
{
    switch (reason) {
    case ExclusionReason::ResidencyForbids:
        return "residency";
    case ExclusionReason::VersionAbsent:
        return "version";
    case ExclusionReason::HopLimit:
        return "hop_limit";
    case ExclusionReason::MarginNotReached:
        return "away_margin_ms";
    case ExclusionReason::WorseScore:
        return "latency_weight";
    default:
        return {};
    }
}

Decision decide(const std::shared_ptr<const RoutingSnapshot> &snapshot, const RequestFacts &facts, const OwnDispatches &own,
                Millis now, RandomSource &random)
{
    Decision decision = Decider(*snapshot, facts, own, now, random).run();
    decision.snapshot = snapshot;
    return decision;
}

} // namespace Portpaddle
