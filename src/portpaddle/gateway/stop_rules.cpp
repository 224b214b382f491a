// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/stop_rules.h"

namespace Portpaddle {

namespace {

// A request is refused where its prediction takes this many times what is left. Predictions are rough: at 1.0 four of five
// streams that were refused would have come to their end.
constexpr double likelyShare = 1.6;

} // namespace

// A refusal costs a caller one round trip and one of its few tries; a cut costs the whole answer, which it cannot ask for again
// where the request may not be repeated. A daemon that asks for a caller loses nothing but the round trip.
StopVerdict judgeWhileStopping(const StopDeadlines &stop, SteadyTime deadline, bool relayed, SteadyTime now)
{
    if (deadline < stop.end) {
        return StopVerdict::Take;
    }
    return relayed || now >= stop.likelyUntil ? StopVerdict::Refuse : StopVerdict::TakeIfLikely;
}

SteadyTime likelyEnd(const StopDeadlines &stop, SteadyTime now)
{
    return now + std::chrono::duration_cast<SteadyTime::duration>((stop.end - now) * likelyShare);
}

} // namespace Portpaddle
