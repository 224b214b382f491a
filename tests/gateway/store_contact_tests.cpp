// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// How fresh a daemon's knowledge of the store is, over outages, lost calls and old reads, on a simulated clock.

#include "support/following_daemon.h"

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

/// A store whose revision rises at irregular times, and which is silent in one interval.
struct SilentStore : public SimulatedStore
{
    SilentStore(std::uint64_t seed, Millis outage, Millis readLag) : silentUntil(silentFrom + outage), lag(readLag)
    {
        std::mt19937_64 random(seed);
        for (Time at = Time{} + 10ms; at < end; at += Millis(50 + random() % 1'500)) {
            changes.push_back(at);
        }
    }

    bool isSilent(Time now) const override
    {
        return now >= silentFrom && now < silentUntil;
    }

    std::uint64_t revision(Time now) const override
    {
        return static_cast<std::uint64_t>(std::upper_bound(changes.begin(), changes.end(), now) - changes.begin());
    }

    Millis lagOfReads(Time) const override
    {
        return lag;
    }

    Time silentFrom = Time{} + 20s;
    Time silentUntil;
    Time end = Time{} + 65s;
    Millis lag;
    std::vector<Time> changes;
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
