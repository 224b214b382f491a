// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Shares of system-wide bounds: retries and cold upstreams.

#include "portpaddle/gateway/cold_gate.h"
#include "portpaddle/gateway/retry_rules.h"
#include "portpaddle/retries/retry_credit.h"

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
    const ColdGateOptions terms{ 1.5, 3, daemons, start };
    unsigned total = 0;
    for (unsigned index = 0; index < daemons; ++index) {
        ColdGate gate;
        gate.setOptions(terms);
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
        gate.setOptions({ 1.5, 3, daemons, start });
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
    gate.setOptions({ 1.5, 3, 2, start });
    CHECK(taken(gate, start + 900ms, 10) == 0);
    gate.setOptions({ 1.5, 3, 2, std::nullopt });
    CHECK(taken(gate, start + 1200ms, 10) == 0);
    gate.setOptions({ 1.5, 3, 2, start });
    CHECK(taken(gate, start + 1200ms, 10) > 0);
}

TEST_CASE("Cold gate, any second, sees no more than the share")
{
    ColdGate gate;
    gate.setOptions({ 1.5, 3, 1, start - 1h });
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

TEST_CASE("Retry credit, repeats of all daemons after a calm, are what is saved and stay within ratio and extra together")
{
    constexpr unsigned daemons = 8;
    constexpr unsigned requests = 100;
    unsigned repeats = 0;
    for (unsigned daemon = 0; daemon < daemons; ++daemon) {
        RetryCredit credit;
        credit.setOptions({ .ratio = 0.2, .fixedPart = 54.0 / daemons }, start - 10s);
        for (unsigned request = 0; request < requests; ++request) {
            credit.recordFirstAttempt("s", start + request * 100ms);
        }
        for (unsigned request = 0; request < requests; ++request) {
            repeats += credit.takeRetry("s", start + 10s) != RetryPayment::Nobody ? 1 : 0;
        }
    }
    CHECK(repeats <= 0.2 * requests * daemons + 54);
    // Half of what the requests pay for, and half of 6.75.
    CHECK(repeats == 13 * daemons);
}

TEST_CASE("Retry credit, shares that are kept and that come back, are no more than the whole together")
{
    const RetryBudgetOptions terms;
    CHECK(terms.keptShare + terms.refillShare <= 1);
    CHECK(terms.savedShare >= 0);
    CHECK(terms.savedShare <= 1);
}

TEST_CASE("Retry credit, daemon that stood still for a minute, has what it may keep and no more")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.2, .fixedPart = 10 }, start);
    for (unsigned request = 0; request < 100; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.left("s", start + 1min) == doctest::Approx(5));
}

TEST_CASE("Retry credit, sum over daemons that are asked one after the other, stays within ratio and extra together")
{
    constexpr unsigned daemons = 8;
    constexpr unsigned requests = 100;
    unsigned repeats = 0;
    for (unsigned daemon = 0; daemon < daemons; ++daemon) {
        RetryCredit credit;
        credit.setOptions({ .ratio = 0.2, .fixedPart = 54.0 / daemons }, start);
        // All callers are at this daemon in this second of the window.
        for (unsigned request = 0; request < requests; ++request) {
            credit.recordFirstAttempt("s", start + std::chrono::seconds(daemon));
        }
        while (credit.takeRetry("s", start + std::chrono::seconds(daemon)) != RetryPayment::Nobody) {
            ++repeats;
        }
    }
    CHECK(repeats <= 0.2 * requests * daemons + 54);
    CHECK(repeats >= 0.1 * requests * daemons);
}

TEST_CASE("Retry credit, first sends that left the window, no longer allow repeats")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.5 }, start);
    for (unsigned request = 0; request < 4; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.allowsRetry("s", start + 1s));
    CHECK_FALSE(credit.allowsRetry("s", start + 12s));
}

TEST_CASE("Retry credit, repeat that was taken, is not taken twice")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.5 }, start);
    for (unsigned request = 0; request < 4; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.takeRetry("s", start + 1s) == RetryPayment::Credit);
    credit.recordRetryArrival("s", start + 1s);
    CHECK(credit.takeRetry("s", start + 2s) == RetryPayment::Nobody);
    CHECK(credit.takeRetry("s", start + 12s) == RetryPayment::Nobody);
}

TEST_CASE("Retry credit, repeats that are held up on their way, are followed by few others")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.2 }, start);
    unsigned underWay = 0;
    for (unsigned request = 0; request < 1'000; ++request) {
        const SteadyTime now = start + request * 100ms;
        credit.recordFirstAttempt("s", now);
        underWay += credit.takeRetry("s", now) != RetryPayment::Nobody ? 1 : 0;
    }
    // What one window may save; its requests pay for twice as many.
    CHECK(underWay == 10);
}

TEST_CASE("Retry credit, repeat that was not sent, is given back")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.5 }, start);
    for (unsigned request = 0; request < 4; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.takeRetry("s", start) == RetryPayment::Credit);
    CHECK_FALSE(credit.allowsRetry("s", start));
    credit.refundRetry("s", start);
    CHECK(credit.allowsRetry("s", start));
}

TEST_CASE("Retry credit, run that goes on elsewhere, is charged to what is earned later")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.5 }, start);
    credit.forceRetry("s", start);
    credit.recordRetryArrival("s", start);
    for (unsigned request = 0; request < 4; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK_FALSE(credit.allowsRetry("s", start));
    CHECK(credit.left("s", start) == doctest::Approx(0));
}

TEST_CASE("Retry credit, part of the fixed number that shrinks, is not spent any more")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.2, .fixedPart = 50 }, start - 100s);
    CHECK(credit.left("s", start) == doctest::Approx(25));
    credit.setOptions({ .ratio = 0.2, .fixedPart = 5 }, start);
    CHECK(credit.left("s", start) == doctest::Approx(2.5));
    credit.setOptions({ .ratio = 0.2 }, start);
    CHECK(credit.left("s", start) == doctest::Approx(0));
}

namespace {

RetryFacts refusedOnce()
{
    RetryFacts facts;
    facts.sent = true;
    facts.sends = 1;
    facts.attempts = 2;
    return facts;
}

} // namespace

TEST_CASE("Repeat, refused by one of two upstreams, is allowed for budget")
{
    const RetryDecision decision = decideRetry(refusedOnce());
    CHECK(decision.denial == RetryDenial::None);
    CHECK(decision.needsBudget);
}

TEST_CASE("Repeat, seen by no upstream, costs nothing even with attempts used")
{
    RetryFacts facts = refusedOnce();
    facts.reachedNoUpstream = true;
    facts.attempts = 1;
    CHECK(decideRetry(facts).denial == RetryDenial::None);
    CHECK_FALSE(decideRetry(facts).needsBudget);
}

TEST_CASE("Repeat, stream that cannot be continued, is denied however its last attempt ended")
{
    RetryFacts facts = refusedOnce();
    facts.cannotContinue = true;
    facts.reachedNoUpstream = true;
    CHECK(decideRetry(facts).denial == RetryDenial::NotResumable);
    facts.reachedNoUpstream = false;
    facts.sent = false;
    CHECK(decideRetry(facts).denial == RetryDenial::NotResumable);
}

TEST_CASE("Repeat, each reason against it, is named")
{
    RetryFacts facts = refusedOnce();
    facts.attempts = 1;
    CHECK(decideRetry(facts).denial == RetryDenial::AttemptsUsed);
    facts.cannotContinue = true;
    CHECK(decideRetry(facts).denial == RetryDenial::NotResumable);
    facts.mayHaveRun = true;
    CHECK(decideRetry(facts).denial == RetryDenial::MayHaveRun);
    facts.mayRunTwice = true;
    facts.relayed = true;
    CHECK(decideRetry(facts).denial == RetryDenial::EntryDecides);
    facts.ended = true;
    CHECK(nameOf(decideRetry(facts).denial) == "ended");
}
