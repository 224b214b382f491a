// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Shares of system-wide bounds: retries and cold upstreams.

#include "portpaddle/gateway/cold_gate.h"
#include "portpaddle/gateway/repeat_rules.h"
#include "portpaddle/retries/retry_slice.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };

unsigned taken(ColdGate &gate, SteadyTime now, unsigned wanted)
{
    unsigned count = 0;
    for (; wanted > 0; --wanted) {
        if (gate.allows("u", 3.5, false, now)) {
            gate.take("u", now);
            ++count;
        }
    }
    return count;
}

} // namespace

TEST_CASE("Cold gate, daemons that share an upstream, stay within its bound together")
{
    constexpr unsigned daemons = 4;
    const ColdTerms terms{ 1.5, 3, daemons, start };
    unsigned total = 0;
    for (unsigned index = 0; index < daemons; ++index) {
        ColdGate gate;
        gate.setTerms(terms);
        total += taken(gate, start + 5s, 100);
    }
    CHECK(total <= 8);
    CHECK(total > 0);
}

TEST_CASE("Cold gate, more daemons than the bound, lets the owner of an upstream send and nobody else")
{
    constexpr unsigned daemons = 99;
    unsigned total = 0;
    for (unsigned index = 0; index < daemons; ++index) {
        ColdGate gate;
        gate.setTerms({ 1.5, 3, daemons, start });
        for (int send = 0; send < 20; ++send) {
            const bool owner = index == 17;
            if (gate.allows("u", 3.3, owner, start + 5s)) {
                gate.take("u", start + 5s);
                ++total;
            }
        }
    }
    CHECK(total > 0);
    // Half: one that is cut off may still take itself for the owner.
    CHECK(2 * total <= 3.3 * 1.5 + 3);
}

TEST_CASE("Cold gate, first second of a process on the list, is closed because an earlier process may have spent its share")
{
    ColdGate gate;
    gate.setTerms({ 1.5, 3, 2, start });
    CHECK(taken(gate, start + 900ms, 10) == 0);
    gate.setTerms({ 1.5, 3, 2, std::nullopt });
    CHECK(taken(gate, start + 1200ms, 10) == 0);
    gate.setTerms({ 1.5, 3, 2, start });
    CHECK(taken(gate, start + 1200ms, 10) > 0);
}

TEST_CASE("Cold gate, any second, sees no more than the share")
{
    ColdGate gate;
    gate.setTerms({ 1.5, 3, 1, start - 1h });
    std::vector<SteadyTime> sends;
    for (SteadyTime now = start; now < start + 10s; now += 10ms) {
        for (unsigned count = taken(gate, now, 3); count > 0; --count) {
            sends.push_back(now);
        }
    }
    for (std::size_t first = 0; first < sends.size(); ++first) {
        std::size_t inSecond = 0;
        while (first + inSecond < sends.size() && sends[first + inSecond] <= sends[first] + 1s) {
            ++inSecond;
        }
        CHECK(inSecond <= 8);
    }
}

TEST_CASE("Retry slice, repeats of all daemons, stay within ratio and extra together")
{
    constexpr unsigned daemons = 8;
    unsigned repeats = 0;
    for (unsigned index = 0; index < daemons; ++index) {
        RetrySlice slice;
        slice.setTerms({ 0.2, 54.0 / daemons, 0, 10s });
        for (int request = 0; request < 50; ++request) {
            slice.firstSent("s", start + request * 10ms);
        }
        for (int attempt = 0; attempt < 200; ++attempt) {
            repeats += slice.takeRepeat("s", start + 1s) != RetryPayment::Nobody ? 1 : 0;
        }
    }
    CHECK(repeats <= 0.2 * 50 * daemons + 54);
    CHECK(repeats > 100);
}

TEST_CASE("Retry slice, first sends that left the window, no longer allow repeats")
{
    RetrySlice slice;
    slice.setTerms({ 0.5, 0, 0, 10s });
    slice.firstSent("s", start);
    slice.firstSent("s", start);
    CHECK(slice.takeRepeat("s", start + 1s) == RetryPayment::Requests);
    slice.repeatArrived("s", start + 1s);
    CHECK(slice.takeRepeat("s", start + 2s) == RetryPayment::Nobody);
    CHECK(slice.takeRepeat("s", start + 12s) == RetryPayment::Nobody);
}

namespace {

RepeatFacts refusedOnce()
{
    RepeatFacts facts;
    facts.sent = true;
    facts.sends = 1;
    facts.attempts = 2;
    return facts;
}

} // namespace

TEST_CASE("Repeat, refused by one of two upstreams, is allowed for budget")
{
    const RepeatDecision decision = decideRepeat(refusedOnce());
    CHECK(decision.denial == RepeatDenial::None);
    CHECK(decision.needsBudget);
}

TEST_CASE("Repeat, seen by no upstream, costs nothing even with attempts used")
{
    RepeatFacts facts = refusedOnce();
    facts.unseen = true;
    facts.attempts = 1;
    CHECK(decideRepeat(facts).denial == RepeatDenial::None);
    CHECK_FALSE(decideRepeat(facts).needsBudget);
}

TEST_CASE("Repeat, stream that cannot be continued, is denied however its last attempt ended")
{
    RepeatFacts facts = refusedOnce();
    facts.cannotContinue = true;
    facts.unseen = true;
    CHECK(decideRepeat(facts).denial == RepeatDenial::NotResumable);
    facts.unseen = false;
    facts.sent = false;
    CHECK(decideRepeat(facts).denial == RepeatDenial::NotResumable);
}

TEST_CASE("Repeat, each reason against it, is named")
{
    RepeatFacts facts = refusedOnce();
    facts.attempts = 1;
    CHECK(decideRepeat(facts).denial == RepeatDenial::AttemptsUsed);
    facts.cannotContinue = true;
    CHECK(decideRepeat(facts).denial == RepeatDenial::NotResumable);
    facts.mayHaveRun = true;
    CHECK(decideRepeat(facts).denial == RepeatDenial::MayHaveRun);
    facts.mayRunTwice = true;
    facts.relayed = true;
    CHECK(decideRepeat(facts).denial == RepeatDenial::EntryDecides);
    facts.ended = true;
    CHECK(nameOf(decideRepeat(facts).denial) == "ended");
}
