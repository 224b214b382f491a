// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Takes a call through decision, attempts, retries and resumption to its answer.
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

/// What a dispatcher works with; all must outlive it.
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

/// Shared by all requests of a daemon; thread-safe.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherParts parts);

    /// Runs @p call until its answer is whole in @p sink, or says how it failed.
    Status run(Call call, AnswerSink &sink);
    /// Something changed that may let waiting requests go on.
    void wakeWaiting();
    std::size_t waiting() const;

private:
    class Run;

    DispatcherParts parts_;
    RetryBudget retries_;
    WaitQueue queue_;
};

} // namespace Portpaddle
