// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/stop_rules.h"

namespace Portpaddle {

namespace {

// A request is refused if its predicted duration is more than this multiple of the time left. Predictions are rough: with a
// factor of 1.0, 80 % of the refused streams would have completed.
constexpr double predictionTolerance = 1.6;
// The answer that a request is given at its deadline comes some time after it, and its caller has to receive it before the end.
constexpr std::chrono::milliseconds lastAnswerTime{ 400 };

} // namespace

// A refusal costs a caller one round trip and one of its few tries. A cut answer is lost as a whole, and the caller cannot ask
// for it again if the request may not be repeated. A daemon that forwards a request loses only the round trip.
StopVerdict decideWhileStopping(const StopDeadlines &stop, const StopFacts &request, SteadyTime now)
{
    if (request.deadline < stop.end - lastAnswerTime) {
        return StopVerdict::Accept;
    }
    const bool mayBeLikely = !request.relayed && !request.mustSurelyEnd && now < stop.acceptLikelyUntil;
    return mayBeLikely ? StopVerdict::AcceptIfLikely : StopVerdict::Refuse;
}

SteadyTime latestPredictedEnd(const StopDeadlines &stop, SteadyTime now)
{
    return now + std::chrono::duration_cast<SteadyTime::duration>((stop.end - now) * predictionTolerance);
}

} // namespace Portpaddle
