// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon that follows a simulated store, as StoreWatcher does, on a simulated clock.
#pragma once

#include "portpaddle/store_following/store_contact.h"

#include <optional>

namespace Portpaddle {

/// A store whose revision rises, as one daemon reaches it.
class SimulatedStore
{
public:
    virtual ~SimulatedStore() = default;
    /// Whether no answer comes to the daemon at @p now.
    virtual bool isSilent(SteadyTime now) const = 0;
    virtual std::uint64_t revision(SteadyTime now) const = 0;
    /// Returns how old cheap reads are.
    virtual Millis lagOfReads(SteadyTime now) const = 0;
};

/// A daemon that follows the store and checks its open call, as StoreWatcher does.
class FollowingDaemon
{
public:
    using Time = SteadyTime;

    FollowingDaemon(const SimulatedStore &store, Millis phase) : store_(store), checkedAt_(Time{} + phase)
    {
    }

    void advance(Time now)
    {
        advanceCall(now);
        advanceCheck(now);
    }

    /// The process does not run; what is under way on the network goes on.
    void standStill(Time now)
    {
        const bool silent = store_.isSilent(now);
        if (call_) {
            call_->lost = call_->lost || silent;
        }
    }

    bool inTouch = false;
    /// Whether a check ran into the silence.
    bool sawSilence = false;
    std::uint64_t revision = 0;
    Time provedAt{};
    std::optional<Time> signOfLifeAt;
    StoreContact contact;

private:
    static constexpr Millis callPatience{ 600 };
    static constexpr Millis longWait{ 25'000 };
    static constexpr Millis longPatience{ 27'000 };
    static constexpr Millis backoff{ 400 };
    static constexpr Millis coalescing{ 500 };

    struct Call
    {
        CallKind kind = CallKind::Proof;
        Time began{};
        bool lost = false;
    };

    void advanceCall(Time now)
    {
        if (!call_) {
            if (now >= nextCallAt_ || (!inTouch && contact.hasAnsweredSince(failedCallBegan_))) {
                call_ = Call{ contact.beginCall(now), now, store_.isSilent(now) };
            }
            return;
        }
        // Each call that is open while the store is silent is lost.
        call_->lost = call_->lost || store_.isSilent(now);
        const Millis patience = call_->kind == CallKind::Proof ? callPatience : longPatience;
        if (call_->lost && now - call_->began >= patience) {
            failCall(now);
        } else if (!call_->lost && isAnswerDue(now)) {
            answerCall(now);
        }
    }

    bool isAnswerDue(Time now) const
    {
        return call_->kind == CallKind::Proof || store_.revision(now) > revision || now - call_->began >= longWait;
    }

    void failCall(Time now)
    {
        contact.recordFailure(now);
        failedCallBegan_ = call_->began;
        inTouch = false;
        nextCallAt_ = now + backoff;
        call_.reset();
    }

    void answerCall(Time now)
    {
        contact.recordAnswer(now);
        nextCallAt_ = store_.revision(now) > revision ? now + coalescing : now;
        revision = store_.revision(now);
        provedAt = call_->began;
        inTouch = true;
        call_.reset();
    }

    void advanceCheck(Time now)
    {
        if (!check_) {
            if (now - checkedAt_ >= contact.checkInterval()) {
                check_ = Check{ now, store_.isSilent(now), contact.checkFreshness(now), revision };
            }
            return;
        }
        if (check_->lost && now - check_->began < callPatience) {
            return;
        }
        checkedAt_ = now;
        if (endCheck(now) == CheckVerdict::Lost) {
            contact.recordFailure(now);
            nextCallAt_ = now;
            call_.reset();
        }
        check_.reset();
    }

    CheckVerdict endCheck(Time now)
    {
        if (check_->lost) {
            sawSilence = true;
            return contact.recordFailedCheck(now);
        }
        if (sawSilence && !signOfLifeAt) {
            signOfLifeAt = now;
        }
        const Millis lag = check_->freshness == ReadFreshness::Newest ? Millis(0) : store_.lagOfReads(now);
        const std::uint64_t seen = store_.revision(now - lag);
        return contact.recordCheck(check_->began, check_->freshness, seen, check_->known, revision);
    }

    struct Check
    {
        Time began{};
        bool lost = false;
        ReadFreshness freshness = ReadFreshness::MayBeStale;
        std::uint64_t known = 0;
    };

    const SimulatedStore &store_;
    std::optional<Call> call_;
    std::optional<Check> check_;
    Time nextCallAt_{};
    Time failedCallBegan_{};
    Time checkedAt_;
};

} // namespace Portpaddle
