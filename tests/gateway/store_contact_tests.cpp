// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// How fresh a daemon's knowledge of the store is, over outages, lost calls and old reads, on a simulated clock.

#include "portpaddle/store_following/store_contact.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

using Time = SteadyTime;

// A daemon that counts itself in touch acts on nothing older than this: a configuration takes effect within that time.
constexpr Millis freshnessBound{ 3'000 };
// After the store's first answer each call is proved or replaced within this time.
constexpr Millis proofBound{ 1'000 };
constexpr Millis step{ 4 };
constexpr Millis callPatience{ 600 };
constexpr Millis longWait{ 25'000 };
constexpr Millis longPatience{ 27'000 };
constexpr Millis backoff{ 400 };
constexpr Millis coalescing{ 500 };

/// A store whose revision rises at irregular times, and which is silent in one interval.
struct SilentStore
{
    SilentStore(std::uint64_t seed, Millis outage, Millis lagOfReads) : silentUntil(silentFrom + outage), lag(lagOfReads)
    {
        std::mt19937_64 random(seed);
        for (Time at = Time{} + 10ms; at < end; at += Millis(50 + random() % 1'500)) {
            changes.push_back(at);
        }
    }

    bool isSilent(Time now) const
    {
        return now >= silentFrom && now < silentUntil;
    }

    std::uint64_t revision(Time now) const
    {
        return static_cast<std::uint64_t>(std::upper_bound(changes.begin(), changes.end(), now) - changes.begin());
    }

    std::uint64_t read(ReadFreshness freshness, Time now) const
    {
        return revision(freshness == ReadFreshness::Newest ? now : now - lag);
    }

    Time silentFrom = Time{} + 20s;
    Time silentUntil;
    Time end = Time{} + 65s;
    Millis lag;
    std::vector<Time> changes;
};

/// A daemon that follows the store and checks its open call, as StoreWatcher does.
class FollowingDaemon
{
public:
    FollowingDaemon(const SilentStore &store, Millis phase) : store_(store), checkedAt_(Time{} + phase)
    {
    }

    void advance(Time now)
    {
        advanceCall(now);
        advanceCheck(now);
    }

    bool inTouch = false;
    /// Whether a check ran into the silence.
    bool sawSilence = false;
    std::uint64_t revision = 0;
    Time provedAt{};
    std::optional<Time> signOfLifeAt;
    StoreContact contact;

private:
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
        if (now >= store_.silentUntil && !signOfLifeAt) {
            signOfLifeAt = now;
        }
        const std::uint64_t seen = store_.read(check_->freshness, now);
        return contact.recordCheck(check_->began, check_->freshness, seen, check_->known, revision);
    }

    struct Check
    {
        Time began{};
        bool lost = false;
        ReadFreshness freshness = ReadFreshness::MayBeStale;
        std::uint64_t known = 0;
    };

    const SilentStore &store_;
    std::optional<Call> call_;
    std::optional<Check> check_;
    Time nextCallAt_{};
    Time failedCallBegan_{};
    Time checkedAt_;
};

/// Returns for how long the store has had changes that @p revision does not contain.
Millis ageOf(std::uint64_t revision, const SilentStore &store, Time now)
{
    if (store.revision(now) <= revision) {
        return Millis(0);
    }
    return std::chrono::duration_cast<Millis>(now - store.changes[revision]);
}

/// What a daemon did while it followed a store.
struct Play
{
    /// How old the state was at most that it acted on while it counted itself in touch.
    Millis oldestInTouch{ 0 };
    /// Whether its call was proved in time after the first answer that followed a silence it saw.
    bool provedInTime = true;
    bool sawSilence = false;
};

Play playOf(const SilentStore &store, Millis phase)
{
    Play play;
    FollowingDaemon daemon(store, phase);
    for (Time now{}; now < store.end; now += step) {
        daemon.advance(now);
        if (daemon.inTouch) {
            play.oldestInTouch = std::max(play.oldestInTouch, ageOf(daemon.revision, store, now));
        }
        if (daemon.sawSilence && daemon.signOfLifeAt && now == *daemon.signOfLifeAt + proofBound) {
            play.provedInTime = daemon.provedAt >= store.silentUntil;
        }
    }
    play.sawSilence = daemon.sawSilence;
    return play;
}

} // namespace

TEST_CASE("Store contact, outage of any length with lost calls and old reads, no daemon in touch acts on an old state")
{
    const bool holds = rc::check([] {
        const auto outage = Millis(*rc::gen::inRange(100, 30'001));
        const auto lag = Millis(*rc::gen::inRange(0, 6'001));
        const SilentStore store(*rc::gen::arbitrary<std::uint64_t>(), outage, lag);
        const Play play = playOf(store, Millis(*rc::gen::inRange(0, 1'200)));
        // A silence between two checks leaves no sign but the revision of a later read, which is as old as reads are.
        RC_ASSERT(play.oldestInTouch <= freshnessBound + (play.sawSilence ? Millis(0) : lag));
        RC_ASSERT(play.provedInTime);
    });
    CHECK(holds);
}

TEST_CASE("Store contact, 300 daemons with checks at all phases, every one has the store's state after an outage")
{
    const SilentStore store(7, 4'500ms, 6'000ms);
    for (int phase = 0; phase < 1'200; phase += 4) {
        const Play play = playOf(store, Millis(phase));
        CHECK(play.oldestInTouch <= freshnessBound);
        CHECK(play.provedInTime);
    }
}

TEST_CASE("Store contact, calm store, checks are cheap reads and calls wait")
{
    StoreContact contact;
    CHECK(contact.beginCall(Time{} + 1s) == CallKind::Proof);
    contact.recordAnswer(Time{} + 1s);
    for (unsigned round = 1; round < 100; ++round) {
        const Time now = Time{} + 1s + round * contact.checkInterval();
        CHECK(contact.beginCall(now) == CallKind::Waiting);
        CHECK(contact.checkFreshness(now) == ReadFreshness::MayBeStale);
        CHECK(contact.recordCheck(now, ReadFreshness::MayBeStale, round, round, round) == CheckVerdict::Sound);
        CHECK(contact.age(now) == Millis(0));
        contact.recordAnswer(now);
    }
    CHECK(contact.checkInterval() == 1'200ms);
}

TEST_CASE("Store contact, read older than what is known, confirms nothing and is followed by a counted read")
{
    StoreContact contact;
    (void)contact.beginCall(Time{} + 1s);
    contact.recordAnswer(Time{} + 1s);
    const Time now = Time{} + 4s;
    CHECK(contact.recordCheck(now, ReadFreshness::MayBeStale, 5, 6, 6) == CheckVerdict::Void);
    CHECK(contact.age(now) == 3s);
    CHECK(contact.checkFreshness(now) == ReadFreshness::Newest);
    CHECK(contact.recordCheck(now, ReadFreshness::Newest, 6, 6, 6) == CheckVerdict::Sound);
}
