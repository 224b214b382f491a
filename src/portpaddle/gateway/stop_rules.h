// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides which requests a daemon still accepts after it was ordered to stop.
#pragma once

#include "portpaddle/net/asio.h"

namespace Portpaddle {

/// The deadlines of one stop.
struct StopDeadlines
{
    /// Until then, requests that will likely end in time are accepted as well.
    SteadyTime acceptLikelyUntil;
    /// Requests that are in progress then are cut off.
    SteadyTime end;
};

/// What decides whether a stopping daemon may accept a request.
struct StopFacts
{
    SteadyTime deadline;
    /// The request comes from another daemon, which can forward it elsewhere.
    bool relayed = false;
    /// The request may run only once, and a part of its answer is of no use.
    bool mustSurelyEnd = false;
};

/// Whether a stopping daemon may accept a request.
enum class StopVerdict {
    /// The request's deadline lies before the daemon's end.
    Accept,
    /// The request may be accepted if it is predicted to end by latestPredictedEnd().
    AcceptIfLikely,
    /// The request would be cut off.
    Refuse
};

StopVerdict decideWhileStopping(const StopDeadlines &stop, const StopFacts &request, SteadyTime now);

/// Returns the latest predicted end of a request that is accepted at @p now.
SteadyTime latestPredictedEnd(const StopDeadlines &stop, SteadyTime now);

} // namespace Portpaddle
