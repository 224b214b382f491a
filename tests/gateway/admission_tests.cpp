// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Admission of a request at a predicted time.

#include "portpaddle/admission/admission.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

/// A request with a target of one second whose caller waits four seconds for the first token and twelve for the whole answer.
class AdmissionFixture
{
public:
    AdmissionFixture()
    {
        terms.targetMs = 1'000;
        terms.firstTokenTimeoutMs = 4'000;
        terms.completionTimeoutMs = 12'000;
        terms.marginMs = 200;
        forecast.queueMs = 500;
    }

    Admission decide() const
    {
        return decideAdmission(terms, forecast);
    }

    AdmissionTerms terms;
    AdmissionForecast forecast;
};

} // namespace

TEST_CASE_FIXTURE(AdmissionFixture, "Admission, predicted within the target and its margin, is timely")
{
    forecast.timelyMs = 790;
    forecast.lateMs = 9'000;
    CHECK(decide() == Admission::Timely);
}

// A queue that takes as long as the target would serve every request late.
TEST_CASE_FIXTURE(AdmissionFixture, "Admission, predicted within the target but not its margin, is not timely")
{
    forecast.timelyMs = 810;
    forecast.lateMs = 9'000;
    CHECK(decide() == Admission::Refused);
}

// A long prompt at an idle upstream would go behind short ones and miss its target for certain.
TEST_CASE_FIXTURE(AdmissionFixture, "Admission, waits for nobody, needs no margin")
{
    forecast.timelyMs = 950;
    forecast.queueMs = 0;
    forecast.lateMs = 950;
    CHECK(decide() == Admission::Timely);
}

TEST_CASE_FIXTURE(AdmissionFixture, "Admission, target missed, goes behind all others while they leave time for it")
{
    forecast.timelyMs = 1'500;
    forecast.lateMs = 1'900;
    CHECK(decide() == Admission::Late);
}

// Requests that arrive later pass a late one. It would wait until its caller leaves, and be neither served nor refused.
TEST_CASE_FIXTURE(AdmissionFixture, "Admission, target missed and others leave no time, refuses at once")
{
    forecast.timelyMs = 1'500;
    forecast.lateMs = 2'100;
    CHECK(decide() == Admission::Refused);
}

TEST_CASE_FIXTURE(AdmissionFixture, "Admission, last token predicted after the deadline, refuses")
{
    forecast.timelyMs = 500;
    forecast.lateMs = 500;
    forecast.streamingMs = 11'600;
    CHECK(decide() == Admission::Refused);
    forecast.streamingMs = 11'400;
    CHECK(decide() == Admission::Timely);
}

TEST_CASE_FIXTURE(AdmissionFixture, "Admission, answer that has begun, is never refused")
{
    terms = {};
    forecast.timelyMs = 100'000;
    forecast.streamingMs = 100'000;
    CHECK(decide() == Admission::Timely);
}

// A caller that returns before the queue of its refusal is done is refused again.
TEST_CASE("Return after a refusal, is after what is queued now, spread over a quarter of that time")
{
    CHECK(returnDelayMs(1'200, 0) == doctest::Approx(1'200));
    CHECK(returnDelayMs(1'200, 1) == doctest::Approx(1'500));
}
