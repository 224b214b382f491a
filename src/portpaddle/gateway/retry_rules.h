// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Whether a request may be sent once more after an attempt failed, and if not, why.
#pragma once

#include <cstdint>
#include <string_view>

namespace Portpaddle {

/// Why no other attempt follows.
enum class RetryDenial { None, Ended, MayHaveRun, EntryDecides, NotResumable, AttemptsUsed, BudgetSpent, EndsUpstreams };
std::string_view nameOf(RetryDenial denial);

/// What decides, but for the budget.
struct RetryFacts
{
    /// The answer is complete, or nobody waits for one any more.
    bool ended = false;
    /// The request left this daemon.
    bool sent = false;
    /// An upstream may have run it.
    bool mayHaveRun = false;
    bool mayRunTwice = false;
    /// It came from another daemon.
    bool relayed = false;
    /// Another daemon took it and showed it to no upstream.
    bool unseen = false;
    /// A part of the answer has reached the caller, and the rest cannot follow from elsewhere.
    bool cannotContinue = false;
    /// Upstreams ended under it.
    bool held = false;
    unsigned sends = 0;
    unsigned attempts = 1;
};

/// What follows; a repeat costs budget unless no upstream saw the request.
struct RetryDecision
{
    RetryDenial denial = RetryDenial::None;
    bool needsBudget = false;
};

RetryDecision decideRetry(const RetryFacts &facts);

} // namespace Portpaddle
