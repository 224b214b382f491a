// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The fractions of an organisation's demand that are admitted, by urgency.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/urgency_fractions.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

constexpr SpendingLimit steady{ 1'000, 0, 1'000, 0.5, 2, 0 };

double fractionOf(const ByLimitClass &fractions, LimitClass limitClass)
{
    return fractions.at(static_cast<std::size_t>(limitClass));
}

} // namespace

TEST_CASE("Admitted fractions, demand beyond the limit, admit urgent requests before usual and these before patient ones")
{
    // Guards against a rejection of urgent requests while less urgent ones are admitted.
    const ByLimitClass fractions = admittedFractions({ 0, 600, 800, 500 }, { 1'000, 600, 1'000, 0.5, 2, 0 });
    CHECK(fractionOf(fractions, LimitClass::Urgent) == 1);
    CHECK(fractionOf(fractions, LimitClass::Usual) == doctest::Approx(0.5));
    CHECK(fractionOf(fractions, LimitClass::Patient) == 0);
}

TEST_CASE("Admitted fractions, urgent demand alone beyond the limit, admit a part of it and nothing less urgent")
{
    const ByLimitClass fractions = admittedFractions({ 0, 2'000, 800, 0 }, steady);
    CHECK(fractionOf(fractions, LimitClass::Urgent) == doctest::Approx(0.5));
    CHECK(fractionOf(fractions, LimitClass::Usual) == 0);
}

TEST_CASE("Admitted fractions, demand below the limit, admit everything")
{
    const ByLimitClass fractions = admittedFractions({ 10, 300, 300, 100 }, { 1'000, 1'000, 1'000, 0.5, 2, 0 });
    for (const double fraction : fractions) {
        CHECK(fraction == 1);
    }
}

TEST_CASE("Admitted fractions, cheap requests, are admitted first but spend at most 0.35 of the limit")
{
    CHECK(fractionOf(admittedFractions({ 80, 5'000, 0, 0 }, steady), LimitClass::Cheap) == 1);
    const ByLimitClass many = admittedFractions({ 700, 5'000, 0, 0 }, steady);
    CHECK(fractionOf(many, LimitClass::Cheap) == doctest::Approx(0.5));
    CHECK(fractionOf(many, LimitClass::Urgent) == doctest::Approx(0.13));
}

TEST_CASE("Admitted fractions, any demand, spend no more than the limit and favour the more urgent class")
{
    SeededRandom random(3);
    for (int round = 0; round < 2'000; ++round) {
        ByLimitClass asked{};
        for (double &each : asked) {
            each = 3'000 * random.fraction();
        }
        const double spendable = 2'000 * random.fraction() - 1'000;
        const ByLimitClass fractions = admittedFractions(asked, { 1'000, spendable, 1'000, 0.5, 2, 0 });
        const double spent = totalFraction(asked, fractions) * (asked[0] + asked[1] + asked[2] + asked[3]);
        const double settleSeconds = spendable < 0 ? 2 : 0.5;
        // In debt, nothing but cheap requests is admitted beyond what pays it back in time.
        const double cheapSpent = fractions[0] * asked[0];
        CHECK(cheapSpent <= 350 + 1e-6);
        CHECK(spent <= std::max(cheapSpent, 1'000 + spendable / settleSeconds) + 1e-6);
        CHECK(fractions[1] >= fractions[2]);
        CHECK(fractions[2] >= fractions[3]);
        for (const double fraction : fractions) {
            CHECK(fraction >= 0);
            CHECK(fraction <= 1);
        }
    }
}

TEST_CASE("Fraction for a request, cheap ones, is that of cheap requests or that of its urgency if greater")
{
    const ByLimitClass fractions{ 0.5, 1, 0.2, 0 };
    CHECK(fractionFor(fractions, Urgency::Urgent, 10, 20) == 1);
    CHECK(fractionFor(fractions, Urgency::Usual, 10, 20) == 0.5);
    CHECK(fractionFor(fractions, Urgency::Usual, 30, 20) == 0.2);
    CHECK(fractionFor(fractions, Urgency::Late, 30, 20) == 0);
}
