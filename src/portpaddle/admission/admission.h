// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides whether a request is admitted to an upstream or region that is predicted to serve it at a certain time.
#pragma once

#include "portpaddle/admission/urgency.h"

#include <limits>
#include <string_view>

namespace Portpaddle {

/// How a request is admitted: among the requests that are to meet their targets, behind all of these, or not at all.
enum class Admission { Timely, Late, Refused };
std::string_view nameOf(Admission admission);

/// What the caller of a request waits for; times in milliseconds from now.
struct AdmissionTerms
{
    /// Time left until the target.
    double targetMs = std::numeric_limits<double>::infinity();
    /// Time for which the caller still waits for the first token, and for the whole answer.
    double firstTokenTimeoutMs = std::numeric_limits<double>::infinity();
    double completionTimeoutMs = std::numeric_limits<double>::infinity();
    /// Most of the requests of this class get their first token within this time after the predicted one.
    double marginMs = 0;
};

/// The prediction for one upstream or region; times in milliseconds from now.
struct AdmissionForecast
{
    /// Time to the first token in the request's own class, the part of it that the request waits for others, and the time behind
    /// all requests that are to meet their targets.
    double timelyMs = 0;
    double queueMs = 0;
    double lateMs = 0;
    /// Time from the first token to the last.
    double streamingMs = 0;
};

/// A request goes behind all others only where it is predicted to be served within this share of the time that its caller waits.
inline constexpr double lateQueueShare = 0.5;

Admission decideAdmission(const AdmissionTerms &terms, const AdmissionForecast &forecast);

/// Returns the time in milliseconds after which a refused request finds everything done that is queued before it now. @p queueMs
/// is the shortest predicted time to the first token; @p chance, from 0 to 1, keeps callers from returning together.
double returnDelayMs(double queueMs, double chance);

} // namespace Portpaddle
