// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides whether a request may be sent again after a failed attempt, and if not, why.
#pragma once

#include <cstdint>
#include <string_view>

namespace Portpaddle {

/// Reason why no other attempt follows.
enum class RetryDenial { None, Ended, MayHaveRun, EntryDecides, NotResumable, AttemptsUsed, BudgetSpent, EndsUpstreams };
std::string_view nameOf(RetryDenial denial);

/// The facts for the decision, except the retry budget.
struct RetryFacts
{
    /// The answer is complete, or nobody waits for it any more.
    bool ended = false;
    /// The request was sent by this daemon.
    bool sent = false;
    /// An upstream may have run the request.
    bool mayHaveRun = false;
    bool mayRunTwice = false;
    /// The request came from another daemon.
    bool relayed = false;
    /// Another daemon accepted the request and sent it to no upstream.
    bool reachedNoUpstream = false;
    /// A part of the answer has reached the caller, and the rest cannot come from another upstream.
    bool cannotContinue = false;
    /// The request is quarantined because upstreams crashed while running it.
    bool quarantined = false;
    /// Number of times that the request was sent to an upstream, by any daemon.
    unsigned sends = 0;
    /// Maximum number of sends that the route allows.
    unsigned attempts = 1;
};

/// The decision; a retry needs budget unless no upstream received the request.
struct RetryDecision
{
    RetryDenial denial = RetryDenial::None;
    bool needsBudget = false;
};

RetryDecision decideRetry(const RetryFacts &facts);

} // namespace Portpaddle
