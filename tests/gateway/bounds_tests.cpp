// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Shares of fleet-wide bounds: retries and requests to cold upstreams.

#include "portpaddle/exchanges/retry_rules.h"
#include "portpaddle/retries/retry_credit.h"
#include "portpaddle/upstream_limits/cold_gate.h"

#include <doctest/doctest.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };

unsigned takeUpTo(ColdGate &gate, SteadyTime now, unsigned wanted)
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

TEST_CASE("Cold gate, several daemons share an upstream, together stay within its bound")
{
    constexpr unsigned daemons = 4;
    const ColdGateOptions options{ 1.5, 3, daemons, start };
    unsigned total = 0;
    for (unsigned index = 0; index < daemons; ++index) {
        ColdGate gate;
        gate.setOptions(options);
        total += takeUpTo(gate, start + 5s, 100);
    }
    CHECK(total <= 8);
    CHECK(total > 0);
}

TEST_CASE("Cold gate, more daemons than the bound allows requests, lets only the owner of an upstream send")
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
    // Half of the bound, because a partitioned daemon may still consider itself the owner.
    CHECK(2 * total <= 3.3 * 1.5 + 3);
}

TEST_CASE("Cold gate, first second after a process is listed, is closed because an earlier process may have spent its share")
{
    ColdGate gate;
    gate.setOptions({ 1.5, 3, 2, start });
    CHECK(takeUpTo(gate, start + 900ms, 10) == 0);
    gate.setOptions({ 1.5, 3, 2, std::nullopt });
    CHECK(takeUpTo(gate, start + 1200ms, 10) == 0);
    gate.setOptions({ 1.5, 3, 2, start });
    CHECK(takeUpTo(gate, start + 1200ms, 10) > 0);
}

TEST_CASE("Cold gate, any window of one second, admits no more than the share")
{
    ColdGate gate;
    gate.setOptions({ 1.5, 3, 1, start - 1h });
    std::vector<SteadyTime> sends;
    for (SteadyTime now = start; now < start + 10s; now += 10ms) {
        for (unsigned count = takeUpTo(gate, now, 3); count > 0; --count) {
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

TEST_CASE(
    "Retry credit, retries of all daemons after an idle period, equal the saved credit and stay within ratio and fixed part")
{
    constexpr unsigned daemons = 8;
    constexpr unsigned requests = 100;
    unsigned retries = 0;
    for (unsigned daemon = 0; daemon < daemons; ++daemon) {
        RetryCredit credit;
        credit.setOptions({ .ratio = 0.2, .fixedPart = 54.0 / daemons }, start - 10s);
        for (unsigned request = 0; request < requests; ++request) {
            credit.recordFirstAttempt("s", start + request * 100ms);
        }
        for (unsigned request = 0; request < requests; ++request) {
            retries += credit.takeRetry("s", start + 10s) != RetryPayment::Nobody ? 1 : 0;
        }
    }
    CHECK(retries <= 0.2 * requests * daemons + 54);
    // Half of the 20 retries that the requests pay for, plus half of the fixed part of 6.75, rounded down.
    CHECK(retries == 13 * daemons);
}

TEST_CASE("Retry credit, kept share and refill share, add up to at most one")
{
    const RetryBudgetOptions options;
    CHECK(options.keptShare + options.refillShare <= 1);
    CHECK(options.savedShare >= 0);
    CHECK(options.savedShare <= 1);
}

TEST_CASE("Retry credit, daemon suspended for a minute, has only the credit that it may keep")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.2, .fixedPart = 10 }, start);
    for (unsigned request = 0; request < 100; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.left("s", start + 1min) == doctest::Approx(5));
}

TEST_CASE("Retry credit, callers move from daemon to daemon, total of retries stays within ratio and fixed part")
{
    constexpr unsigned daemons = 8;
    constexpr unsigned requests = 100;
    unsigned retries = 0;
    for (unsigned daemon = 0; daemon < daemons; ++daemon) {
        RetryCredit credit;
        credit.setOptions({ .ratio = 0.2, .fixedPart = 54.0 / daemons }, start);
        // All callers use this daemon during this second of the window.
        for (unsigned request = 0; request < requests; ++request) {
            credit.recordFirstAttempt("s", start + std::chrono::seconds(daemon));
        }
        while (credit.takeRetry("s", start + std::chrono::seconds(daemon)) != RetryPayment::Nobody) {
            ++retries;
        }
    }
    CHECK(retries <= 0.2 * requests * daemons + 54);
    CHECK(retries >= 0.1 * requests * daemons);
}

TEST_CASE("Retry credit, first attempts outside the window, no longer allow retries")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.5 }, start);
    for (unsigned request = 0; request < 4; ++request) {
        credit.recordFirstAttempt("s", start);
    }
    CHECK(credit.allowsRetry("s", start + 1s));
    CHECK_FALSE(credit.allowsRetry("s", start + 12s));
}

TEST_CASE("Retry credit, retry already taken, cannot be taken twice")
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

TEST_CASE("Retry credit, retries delayed in transit, limit further retries")
{
    RetryCredit credit;
    credit.setOptions({ .ratio = 0.2 }, start);
    unsigned retriesTaken = 0;
    for (unsigned request = 0; request < 1'000; ++request) {
        const SteadyTime now = start + request * 100ms;
        credit.recordFirstAttempt("s", now);
        retriesTaken += credit.takeRetry("s", now) != RetryPayment::Nobody ? 1 : 0;
    }
    // The credit that one window may save, which is half of what its requests pay for.
    CHECK(retriesTaken == 10);
}

TEST_CASE("Retry credit, retry that was not sent, is refunded")
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

TEST_CASE("Retry credit, forced retry for a run that continues elsewhere, is charged to credit earned later")
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

TEST_CASE("Retry credit, fixed part that shrinks, reduces the credit left")
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

TEST_CASE("Retry, refused by one of two upstreams, is allowed and needs budget")
{
    const RetryDecision decision = decideRetry(refusedOnce());
    CHECK(decision.denial == RetryDenial::None);
    CHECK(decision.needsBudget);
}

TEST_CASE("Retry, request reached no upstream, needs no budget even with all attempts used")
{
    RetryFacts facts = refusedOnce();
    facts.reachedNoUpstream = true;
    facts.attempts = 1;
    CHECK(decideRetry(facts).denial == RetryDenial::None);
    CHECK_FALSE(decideRetry(facts).needsBudget);
}

TEST_CASE("Retry, stream that cannot be continued, is denied however its last attempt ended")
{
    RetryFacts facts = refusedOnce();
    facts.cannotContinue = true;
    facts.reachedNoUpstream = true;
    CHECK(decideRetry(facts).denial == RetryDenial::NotResumable);
    facts.reachedNoUpstream = false;
    facts.sent = false;
    CHECK(decideRetry(facts).denial == RetryDenial::NotResumable);
}

TEST_CASE("Retry, each reason for denial, is reported")
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
