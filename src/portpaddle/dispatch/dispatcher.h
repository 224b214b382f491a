// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Runs calls: routing decisions, attempts, retries and the resumption of streams.
#pragma once

#include "portpaddle/dispatch/retry_budget.h"
#include "portpaddle/dispatch/trace_ring.h"
#include "portpaddle/dispatch/wait_queue.h"
#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/routing/blackboard.h"
#include "portpaddle/routing/snapshot_builder.h"

#include <functional>
#include <memory>

namespace Portpaddle {

class ClaimStore;
class Clock;
class Metrics;
class RandomSource;

/// The objects that a dispatcher uses; all of them must outlive it.
struct DispatcherParts
{
    Blackboard &board;
    const Clock &clock;
    RandomSource &random;
    Metrics &metrics;
    UpstreamClient &upstreams;
    PeerForwarder &peers;
    RemoteDispatches &remoteDispatches;
    ClaimStore &claims;
    TraceRing &traces;
};

/// Runs the calls of a daemon. Thread-safe; one dispatcher serves all requests.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherParts parts);

    /// Runs @p call until its answer is complete in @p sink. Returns an error if the call failed.
    Status run(Call call, AnswerSink &sink);
    /// Wakes all waiting requests, after a change that may allow them to continue.
    void wakeWaiting();
    std::size_t waiting() const;

private:
    class Execution;

    DispatcherParts parts_;
    RetryBudget retries_;
    WaitQueue queue_;
};

} // namespace Portpaddle
