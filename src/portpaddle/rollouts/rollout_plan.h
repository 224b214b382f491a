// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides the next step of a rollout; a pure function of what is known of it.
#pragma once

#include "portpaddle/rollouts/rollout.h"
#include "portpaddle/rollouts/rollout_verdict.h"

#include <optional>

namespace Portpaddle {

/// Bounds that the deployment sets.
struct RolloutTerms
{
    /// Share of a service's requests from the order to its end that a bad version may receive.
    double exposureShare = 0.1;
};

/// What is known of a rollout at one moment.
struct RolloutFacts
{
    RolloutOrder order;
    /// The record in force; no value before the first one for this order.
    std::optional<RolloutRecord> record;
    /// Time since the order.
    Millis elapsed{ 0 };
    RolloutVerdict verdict;
    /// Requests in progress at older versions.
    std::uint64_t runningOlder = 0;
};

/// Returns the record to write next; no value if the record in force stays.
std::optional<RolloutRecord> nextRecord(const RolloutFacts &facts, const RolloutTerms &terms);

} // namespace Portpaddle
