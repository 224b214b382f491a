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
constexpr NameTable<ExclusionReason, 18> exclusionReasonNames{
    { "chosen", "leaving", "unhealthy", "version_absent", "already_tried", "full", "worse_score", "residency_forbids",
      "already_visited", "hop_limit", "unreachable", "no_capacity", "stale", "share_spent", "margin_not_reached", "too_late",
      "upstream_limit", "backing_off" }
};

/// Share of a prompt that is expected in the prefix cache of the engine that rendezvous hashing ranks first.
constexpr double expectedPrefixHitShare = 0.9;
/// Predicted slow-down of a stream on a full engine compared with an empty one, expressed in ms until the first token.
constexpr double fullBatchPenaltyMs = 40;
/// Cost of serving one request in another region, expressed in ms of latency; multiplied by the away weight of the policy.
constexpr double awayPenaltyMs = 100;
/// Share of the slots that deferrable requests leave free for interactive ones.
constexpr double interactiveReserveShare = 0.25;
/// Share of the slots by which an engine may be overcommitted, so that its own queue keeps the batch full between two reports.
constexpr double engineQueueAllowance = 0.125;
/// Remote summaries that are older than this are ignored.
constexpr Millis maxSummaryAge{ 15'000 };
constexpr double plainServiceMs = 20;
/// Weight of latency for deferrable requests relative to interactive ones.
constexpr double deferrableLatencyFactor = 0.2;
/// Expected wait until the next reports, when a full engine may have free slots.
constexpr double typicalReportWaitMs = 300;
constexpr double typicalAnswerTokens = 256;
/// A data centre whose load reaches this share of its capacity is assumed to forward requests as well.
constexpr double overflowLoadShare = 0.9;
constexpr Millis minRetryAfter{ 250 };
constexpr Millis maxRetryAfter{ 30'000 };

/// Evaluates one decision. An instance exists only for the duration of decide().
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
        reservedShare_ = interactive ? 0 : interactiveReserveShare * std::clamp(1 - age, 0.0, 1.0);
        isDeferrable_ = !interactive && age < 1;
    }

    Decision run()
    {
        decision_.candidates.reserve(routes_.local.size() + routes_.remote.size());
        if (!policy_.allowsRegion(snapshot_.settings->place().region)) {
            // The body must not be read in this region, which rules out local engines and waiting. Forwarding is ruled out as
            // well, because this daemon would have to handle the data.
            return refuse(ErrorCode::ResidencyForbids);
        }
        rankPrefixHolders();
        considerLocal();
        considerRemote();
        return chooseVerdict();
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
            const double holderScore = rendezvousScore(facts_.prefixHash, view.idHash, view.slots);
            if (holderScore > best) {
                best = holderScore;
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

    /// Whether the settings allow @p version, and a stream in progress may go on there.
    bool admitsVersion(const std::string &version) const
    {
        return (policy_.version.empty() || version == policy_.version)
            && (!facts_.streamVersion || version == *facts_.streamVersion);
    }

    ExclusionReason exclusionOf(const ServiceCandidate &candidate, const UpstreamView &view) const
    {
        if (view.leaving != LeavingSignal::None) {
            return ExclusionReason::Leaving;
        }
        if (!view.healthy) {
            return ExclusionReason::Unhealthy;
        }
        if (!admitsVersion(candidate.version)) {
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
        const double usable = slots * (1.0 - reservedShare_);
        const double wait = expectedExcess(busy + 1 - usable, slots) * turnoverMs() / slots;
        const double prefill = prefillMs(position == prefixHolder_ ? 1.0 - expectedPrefixHitShare : 1.0);
        const double batchDelay = isModel_ ? fullBatchPenaltyMs * std::min(1.0, busy / slots) : plainServiceMs * busy / slots;
        outcome.waitMs = static_cast<float>(wait);
        outcome.prefillMs = static_cast<float>(prefill);
        outcome.score = static_cast<float>(latencyWeight() * (wait + prefill + batchDelay) + policy_.costWeight * prefill);
        shortestWait_ = std::min(shortestWait_, wait);
        if (busy + 1 > usable + slots * engineQueueAllowance || !fitsLocalShare(usable - view.load.running - queued, own)) {
            outcome.reason = ExclusionReason::Full;
            bestFullScore_ = std::min(bestFullScore_, static_cast<double>(outcome.score));
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
        if (now_ - view.observedAt > maxSummaryAge) {
            return ExclusionReason::Stale;
        }
        const bool isBound = !policy_.version.empty() || facts_.streamVersion;
        const bool hasVersion = std::any_of(view.versions.begin(), view.versions.end(),
                                            [this](const std::string &version) { return admitsVersion(version); });
        if (isBound && !hasVersion) {
            return ExclusionReason::VersionAbsent;
        }
        return view.capacity == 0 ? ExclusionReason::NoCapacity : ExclusionReason::None;
    }

    void scoreRemote(const RemoteView &view, CandidateOutcome &outcome)
    {
        const std::string &here = snapshot_.settings->place().region;
        const double own = view.slot < own_.remotes.size() ? own_.remotes[view.slot] : 0;
        const double busy = view.busy + view.queued + own;
        const double capacity = view.capacity * (1.0 - reservedShare_);
        const double wait = expectedExcess(busy + 1 - capacity, view.capacity) * turnoverMs() / view.capacity;
        const double link = 2 * snapshot_.settings->linkMs(here, view.region);
        const double prefill = prefillMs(1.0);
        const double awayPenalty = view.region == here ? 0 : policy_.awayWeight * awayPenaltyMs;
        const double batchDelay = fullBatchPenaltyMs * std::min(1.0, busy / view.capacity);
        outcome.waitMs = static_cast<float>(wait + link);
        outcome.prefillMs = static_cast<float>(prefill);
        outcome.score = static_cast<float>(latencyWeight() * (wait + link + prefill + batchDelay) + policy_.costWeight * prefill
                                           + awayPenalty);
        if (!fitsRemoteShare(view, capacity - view.busy - view.queued, own)) {
            outcome.reason = ExclusionReason::ShareSpent;
            // The next summary brings a new share, so that waiting for it is better than a refusal.
            shortestWait_ = std::min(shortestWait_, wait);
        }
    }

    /// Whether a request fits into this daemon's share of the @p free local slots. Only deferrable requests are limited: without
    /// shares, all daemons acting on one report would overrun the slots that are reserved for interactive requests.
    bool fitsLocalShare(double free, double own)
    {
        return !isDeferrable_ || fitsShare(free / std::max(1U, snapshot_.localDaemons), own);
    }

    /// Whether one more request fits into @p share. A fractional rest admits it with that probability.
    bool fitsShare(double share, double own)
    {
        const double left = share - own;
        return left >= 1 || (left > 0 && random_.fraction() < left);
    }

    /// Whether a request fits into this daemon's share of the @p free slots of @p target. All daemons that may send there act
    /// on the same summary, so each of them uses only its share.
    bool fitsRemoteShare(const RemoteView &target, double free, double own)
    {
        if (free <= 0) {
            return false;
        }
        return fitsShare(free / countCompetingSenders(target), own);
    }

    /// Number of daemons that may be sending to @p target now: local ones, and those of other, nearly full data centres.
    unsigned countCompetingSenders(const RemoteView &target) const
    {
        unsigned senders = std::max(1U, snapshot_.localDaemons);
        for (const RemoteView &view : routes_.remote) {
            const bool overflowing = view.busy + view.queued >= overflowLoadShare * view.capacity;
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
        const std::size_t current = decision_.candidates.size() - 1;
        if (!best) {
            best = current;
            return;
        }
        CandidateOutcome &previous = decision_.candidates[*best];
        const bool better = outcome.score < previous.score || (outcome.score == previous.score && random_.below(2) == 0);
        if (better) {
            previous.reason = ExclusionReason::WorseScore;
            best = current;
        } else {
            decision_.candidates[current].reason = ExclusionReason::WorseScore;
        }
    }

    Decision chooseVerdict()
    {
        if (bestRemote_ && !prefersRemote()) {
            decision_.candidates[*bestRemote_].reason = ExclusionReason::MarginNotReached;
            bestRemote_.reset();
        }
        if (bestRemote_) {
            if (bestLocal_) {
                decision_.candidates[*bestLocal_].reason = ExclusionReason::WorseScore;
            }
            return choose(Verdict::Forward, *bestRemote_);
        }
        if (bestLocal_ && !prefersWaiting()) {
            return choose(Verdict::Serve, *bestLocal_);
        }
        return waitOrRefuse();
    }

    bool prefersRemote() const
    {
        const double remote = decision_.candidates[*bestRemote_].score + policy_.awayMarginMs;
        if (bestLocal_) {
            return remote < decision_.candidates[*bestLocal_].score;
        }
        // Full local engines count: a cold cache and a slow link are not worth it while those are merely busy.
        const bool hasFullLocalEngine = std::isfinite(bestFullScore_);
        return !hasFullLocalEngine || remote < bestFullScore_;
    }

    /// Whether to wait for a full engine that holds the prefix rather than compute the prefix again on another engine.
    bool prefersWaiting() const
    {
        return isDeferrable_ && bestFullScore_ + latencyWeight() * typicalReportWaitMs < decision_.candidates[*bestLocal_].score;
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
            return refuse(noCandidateError());
        }
        const bool mayQueue = policy_.requestClass == RequestClass::Deferrable || shortestWait_ <= policy_.queueLimit.count();
        if (!mayQueue) {
            const Millis wait{ static_cast<std::int64_t>(shortestWait_) };
            decision_.retryAfter = std::clamp(wait, minRetryAfter, maxRetryAfter);
            return refuse(ErrorCode::Overloaded);
        }
        decision_.verdict = Verdict::Wait;
        return std::move(decision_);
    }

    ErrorCode noCandidateError() const
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
        return policy_.latencyWeight * (policy_.requestClass == RequestClass::Interactive ? 1 : deferrableLatencyFactor);
    }

    /// Expected time for which a request holds a slot; assumes typical answers, because other requests hold the slots now.
    double turnoverMs() const
    {
        return isModel_ ? policy_.tokenMs * typicalAnswerTokens : plainServiceMs;
    }

    /// Expected number of requests beyond the slots. Reports lag behind, and an engine that is nearly full may be full by now:
    /// the softplus rises smoothly before the slots run out, over about one slot, and over less on small engines.
    static double expectedExcess(double excess, double slots)
    {
        constexpr double linearAbove = 20;
        const double width = std::clamp(slots / 8, 0.1, 1.0);
        return excess > linearAbove ? excess : width * std::log1p(std::exp(excess / width));
    }

    const RoutingSnapshot &snapshot_;
    const RequestFacts &facts_;
    const OwnDispatches &own_;
    const Millis now_;
    RandomSource &random_;
    const RequestPolicy &policy_;
    const ServiceRoutes &routes_;
    bool isModel_ = true;
    /// Share of the slots that this request must leave free.
    double reservedShare_ = 0;
    /// Whether the request is deferrable and has not aged into an interactive one.
    bool isDeferrable_ = false;
    std::size_t prefixHolder_ = std::numeric_limits<std::size_t>::max();
    std::optional<std::size_t> bestLocal_;
    std::optional<std::size_t> bestRemote_;
    double shortestWait_ = std::numeric_limits<double>::infinity();
    double bestFullScore_ = std::numeric_limits<double>::infinity();
    Decision decision_;
};

} // namespace

std::string_view nameOf(Verdict verdict)
{
    return verdictNames[verdict];
}

std::string_view nameOf(ExclusionReason reason)
{
    return exclusionReasonNames[reason];
}

std::string_view settingKeyOf(ExclusionReason reason)
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
