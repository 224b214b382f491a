// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Plays more load than the upstreams of a region can serve, in virtual time and without a network. Daemons place requests with
/// digests that are a fifth of a second old; upstreams prefill prompts by class.
#pragma once

#include "portpaddle/base/system_clock.h"
#include "portpaddle/load_model/first_token_model.h"
#include "portpaddle/placement/placement.h"

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace Portpaddle {

inline constexpr unsigned upstreamCount = 6;
inline constexpr double upstreamTokensPerMs = 50;
inline constexpr unsigned digestAgeMs = 200;
inline constexpr unsigned settlingMs = 3'000;
inline constexpr unsigned playedMs = 13'000;

/// A kind of request.
struct Kind
{
    Urgency urgency = Urgency::Usual;
    double tokens = 0;
    double targetMs = 0;
    double timeoutMs = 0;
};

inline constexpr Kind urgentKind{ Urgency::Urgent, 5'000, 1'000, 4'000 };
inline constexpr Kind usualKind{ Urgency::Usual, 2'000, 2'000, 3'000 };

struct QueuedRequest
{
    Kind kind;
    unsigned arrivedMs = 0;
    double tokensLeft = 0;
    Placement placement;
};

/// Requests asked for and served in time, after the first seconds.
struct Outcome
{
    unsigned asked = 0;
    unsigned timely = 0;

    double share() const
    {
        return asked == 0 ? 1 : double(timely) / asked;
    }
};

/// The daemons and upstreams of one region.
class OverloadedRegion
{
public:
    explicit OverloadedRegion(unsigned daemons) : views_(daemons), queues_(upstreamCount)
    {
    }

    /// Plays urgent requests for three tenths of the capacity, and usual ones for @p usualLoad times the rest.
    void play(double usualLoad)
    {
        const double capacity = upstreamCount * upstreamTokensPerMs;
        const double urgentPerMs = 0.3 * capacity / urgentKind.tokens;
        const double usualPerMs = usualLoad * 0.7 * capacity / usualKind.tokens;
        for (nowMs_ = 0; nowMs_ < playedMs; ++nowMs_) {
            arrive(urgentKind, urgentPerMs, urgent);
            arrive(usualKind, usualPerMs, usual);
            for (unsigned upstream = 0; upstream < upstreamCount; ++upstream) {
                prefill(upstream);
            }
        }
    }

    Outcome urgent;
    Outcome usual;

private:
    /// What a daemon knows: the queues as of its last digest and its own requests since then.
    struct View
    {
        unsigned digestMs = 0;
        std::array<PendingTokens, upstreamCount> pending{};
    };

    using Queue = std::array<std::deque<QueuedRequest>, urgencyCount>;

    SteadyTime now() const
    {
        return SteadyTime(std::chrono::hours(1)) + std::chrono::milliseconds(nowMs_);
    }

    void arrive(const Kind &kind, double perMs, Outcome &outcome)
    {
        for (double left = perMs; left > 0; left -= 1) {
            if (random_.fraction() < left) {
                outcome.asked += nowMs_ >= settlingMs ? 1 : 0;
                place(kind, views_[random_.below(views_.size())]);
            }
        }
    }

    void refresh(View &view)
    {
        if (nowMs_ < view.digestMs + digestAgeMs && nowMs_ > 0) {
            return;
        }
        view.digestMs = nowMs_ - static_cast<unsigned>(random_.below(std::min(nowMs_ + 1, digestAgeMs)));
        for (unsigned upstream = 0; upstream < upstreamCount; ++upstream) {
            for (std::size_t level = 0; level < urgencyCount; ++level) {
                double &pending = view.pending.at(upstream).at(level);
                pending = 0;
                for (const QueuedRequest &request : queues_.at(upstream).at(level)) {
                    pending += request.tokensLeft;
                }
            }
        }
    }

    void place(const Kind &kind, View &view)
    {
        refresh(view);
        std::vector<UpstreamCandidate> candidates(upstreamCount);
        for (unsigned upstream = 0; upstream < upstreamCount; ++upstream) {
            UpstreamCandidate &candidate = candidates.at(upstream);
            candidate.index = upstream;
            candidate.slots = 64;
            candidate.pendingTokens = view.pending.at(upstream);
            candidate.fixedMs = model_.fixedMs();
            candidate.tokensPerMs = 1 / model_.msPerToken();
            candidate.slowness = model_.slowness(upstream, now());
        }
        PlacementRequest request;
        request.promptTokens = kind.tokens;
        request.urgency = kind.urgency;
        request.targetMs = kind.targetMs;
        request.remainingTargetMs = kind.targetMs;
        request.firstTokenTimeoutMs = kind.timeoutMs;
        request.marginMs = model_.marginMs(kind.urgency);
        PlacementWeights weights;
        weights.spreadMs *= double(views_.size() - 1);
        const Placement placement = Portpaddle::place(request, candidates, {}, weights, random_);
        if (placement.verdict != Verdict::Serve) {
            return;
        }
        const auto level = static_cast<std::size_t>(placement.urgency);
        view.pending.at(placement.index).at(level) += kind.tokens;
        queues_.at(placement.index).at(level).push_back({ kind, nowMs_, kind.tokens, placement });
    }

    void prefill(unsigned upstream)
    {
        double capacity = upstreamTokensPerMs;
        for (std::deque<QueuedRequest> &queue : queues_.at(upstream)) {
            while (capacity > 0 && !queue.empty()) {
                QueuedRequest &request = queue.front();
                const double waitedMs = nowMs_ - request.arrivedMs;
                const bool left = waitedMs > request.kind.timeoutMs;
                const double tokens = left ? 0 : std::min(capacity, request.tokensLeft);
                request.tokensLeft -= tokens;
                capacity -= tokens;
                if (left || request.tokensLeft <= 0) {
                    finish(upstream, request, waitedMs, left);
                    queue.pop_front();
                }
            }
        }
    }

    void finish(unsigned upstream, const QueuedRequest &request, double waitedMs, bool left)
    {
        const double tokens = request.placement.queuedTokens + request.placement.prefillTokens;
        model_.learn({ upstream, tokens, std::max(1.0, waitedMs), request.placement.urgency, left }, now());
        if (!left && waitedMs <= request.kind.targetMs && request.arrivedMs >= settlingMs) {
            Outcome &outcome = request.kind.urgency == Urgency::Urgent ? urgent : usual;
            ++outcome.timely;
        }
    }

    std::vector<View> views_;
    std::vector<Queue> queues_;
    FirstTokenModel model_;
    SeededRandom random_{ 17 };
    unsigned nowMs_ = 0;
};

} // namespace Portpaddle
