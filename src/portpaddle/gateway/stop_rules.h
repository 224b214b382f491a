// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which requests a daemon still takes once it was ordered to stop.
#pragma once

#include "portpaddle/net/asio.h"

namespace Portpaddle {

/// The times of one stop.
struct StopDeadlines
{
    /// Until then a request is also taken that will likely be over in time.
    SteadyTime likelyUntil;
    /// What is in progress then is cut off.
    SteadyTime end;
};

/// Whether a stopping daemon may take a request.
enum class StopVerdict {
    /// It is over before the daemon, whatever happens.
    Take,
    /// It may be taken if it is predicted to be over by likelyEnd().
    TakeIfLikely,
    /// It would be cut off.
    Refuse
};

/// Judges a request that may last until @p deadline; a relayed one comes from another daemon, which can ask elsewhere.
StopVerdict judgeWhileStopping(const StopDeadlines &stop, SteadyTime deadline, bool relayed, SteadyTime now);

/// When a request that is taken now has to be over by its prediction.
SteadyTime likelyEnd(const StopDeadlines &stop, SteadyTime now);

} // namespace Portpaddle
