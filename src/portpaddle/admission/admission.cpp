// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/admission/admission.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr NameTable<Admission, 3> admissionNames{ { "timely", "late", "refused" } };
// Callers that are refused together return over this share of the time that they were told.
constexpr double returnSpread = 0.25;

} // namespace

std::string_view nameOf(Admission admission)
{
    return admissionNames[admission];
}

// The queue of a class is kept where what is admitted meets its target: a queue that takes as long as the target serves every
// request late, and upstreams spend their time on requests whose callers have left.
//
// The margin keeps the queue short. A request that waits for nobody does not need it: a long prompt that takes most of its target
// delays no one by being tried.
//
// Requests behind all others are passed by each request that arrives later. While the queue before them takes more than half of
// their callers' time, there is no time to spare for them, and they would wait until their callers leave.
Admission decideAdmission(const AdmissionTerms &terms, const AdmissionForecast &forecast)
{
    const double marginMs = std::min(terms.marginMs, forecast.queueMs);
    const bool endsInTime = forecast.timelyMs + forecast.streamingMs <= terms.completionTimeoutMs;
    if (endsInTime && forecast.timelyMs + marginMs <= terms.targetMs && forecast.timelyMs < terms.firstTokenTimeoutMs) {
        return Admission::Timely;
    }
    const bool reached = forecast.lateMs < lateQueueShare * terms.firstTokenTimeoutMs;
    const bool endsLate = forecast.lateMs + forecast.streamingMs <= terms.completionTimeoutMs;
    return reached && endsLate ? Admission::Late : Admission::Refused;
}

double returnDelayMs(double queueMs, double chance)
{
    return queueMs * (1 + returnSpread * chance);
}

} // namespace Portpaddle
