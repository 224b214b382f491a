// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The attempts of an exchange: the one in progress, and the one that is prepared while its upstream is silent.
#pragma once

#include "portpaddle/exchanges/exchange.h"

#include <memory>
#include <optional>
#include <string>

namespace Portpaddle {

struct Exchange::Attempt
{
    Attempt(Gateway &gateway, const CallerRequest &request, CallerWriter &writer, StreamProgress &progress);

    Target target;
    AttemptPlan plan;
    AttemptCallbacks callbacks;
    /// How the target is called among those that were tried.
    std::string triedAs;
    /// Empty until the request is sent to an upstream of this region.
    LoadTicket ticket;
    /// The attempt as it counts for a rollout of the service.
    RolloutTicket rollout;
    /// The place at a brittle upstream.
    std::optional<HeldPlace> place;
    /// When the first bytes of the answer arrived.
    std::optional<SteadyTime> firstBytesAt;
    /// The attempt was given up before it took over from another one.
    bool isDropped = false;
    /// A move of its run has begun.
    bool isMoved = false;
    UpstreamAttempt sending;
};

struct Exchange::SilenceWatch
{
    std::string upstream;
    /// The check looks for signs of life of the upstream after this time.
    SteadyTime since;
    bool hasEnded = false;
};

struct Exchange::Standby
{
    explicit Standby(const Executor &executor);

    /// Waits until the start has ended; returns false if there is no answer to receive.
    Task<bool> awaitStart();

    /// Null until the upstream has a place for the request.
    std::shared_ptr<Attempt> attempt;
    /// Why there is no answer to receive.
    std::optional<AttemptReport> failure;
    bool hasStarted = false;
    /// The attempt that was in progress has been ended for this one.
    bool replacesCurrent = false;
    /// This attempt is the one in progress.
    bool isAdopted = false;
    /// When the request was written.
    SteadyTime sentAt{};
    /// Cancelled when the start has ended.
    SteadyTimer startTimer;
    /// Ends the time in which two upstreams may hold the request.
    SteadyTimer takeOverTimer;
};

} // namespace Portpaddle
