// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_plan.h"

#include <algorithm>
#include <array>

namespace Portpaddle {

namespace {

// The trial takes less than the allowed share, since a request that reaches no older upstream may be missing from the total.
constexpr double trialPart = 0.8;
// Part of the rollout's duration that the trial takes: faults may show late, and a longer trial leaves too little for the shift.
constexpr double trialTime = 0.5;
// Shares of the new version during the shift. The last one leaves the older upstreams without new requests.
constexpr std::array shiftShares{ 0.25, 0.5, 1.0 };
// Time of a step of the shift, as a multiple of the allowed share times the duration. With half a duration of trial, a version
// whose fault shows only at the last step has then received about the allowed share.
constexpr double stepTime = 0.4;
// After the last step, daemons that heard of it late still send to older upstreams for this long.
constexpr Millis settleTime{ 3'000 };
// Before the deadline by this much, the rollout completes even if older upstreams still run requests.
constexpr Millis completionMargin{ 1'000 };

RolloutRecord firstRecord(const RolloutFacts &facts, const RolloutTerms &terms)
{
    RolloutRecord record;
    record.order = facts.order.id;
    record.service = facts.order.service;
    record.version = facts.order.version;
    record.share = trialPart * terms.exposureShare;
    record.elapsed = facts.elapsed;
    return record;
}

Millis part(Millis duration, double factor)
{
    return Millis(static_cast<Millis::rep>(static_cast<double>(duration.count()) * factor));
}

/// Returns the share that follows @p share in the shift; no value after the last one.
std::optional<double> nextShare(double share)
{
    const auto next = std::find_if(shiftShares.begin(), shiftShares.end(), [share](double each) { return each > share; });
    return next == shiftShares.end() ? std::nullopt : std::optional(*next);
}

} // namespace

std::optional<RolloutRecord> nextRecord(const RolloutFacts &facts, const RolloutTerms &terms)
{
    if (!facts.record) {
        return firstRecord(facts, terms);
    }
    RolloutRecord next = *facts.record;
    next.elapsed = facts.elapsed;
    if (next.isFinal()) {
        return std::nullopt;
    }
    if (facts.verdict.isBad()) {
        next.stage = RolloutStage::RolledBack;
        next.share = 0;
        next.reason = facts.verdict.text();
        return next;
    }
    const Millis sinceRecord = facts.elapsed - facts.record->elapsed;
    const bool trialEnded = facts.elapsed >= part(facts.order.duration, trialTime);
    const bool stepEnded = sinceRecord >= part(facts.order.duration, stepTime * terms.exposureShare);
    const bool due = next.stage == RolloutStage::Trial ? trialEnded : stepEnded;
    if (const std::optional<double> share = nextShare(next.share)) {
        next.stage = RolloutStage::Shift;
        next.share = *share;
        return due ? std::optional(next) : std::nullopt;
    }
    const bool mustEnd = facts.elapsed >= facts.order.duration - completionMargin;
    next.stage = RolloutStage::Completed;
    return sinceRecord >= settleTime && (facts.runningOlder == 0 || mustEnd) ? std::optional(next) : std::nullopt;
}

} // namespace Portpaddle
