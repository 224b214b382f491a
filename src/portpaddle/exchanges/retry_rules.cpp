// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/exchanges/retry_rules.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<RetryDenial, 8> denialNames{ { "none", "ended", "may_have_run", "entry_decides", "not_resumable",
                                                   "attempts_used", "budget_spent", "ends_upstreams" } };

} // namespace

std::string_view nameOf(RetryDenial denial)
{
    return denialNames[denial];
}

RetryDecision decideRetry(const RetryFacts &facts)
{
    if (facts.ended) {
        return { RetryDenial::Ended };
    }
    if (facts.quarantined) {
        return { RetryDenial::EndsUpstreams };
    }
    if (facts.mayHaveRun && !facts.mayRunTwice) {
        return { RetryDenial::MayHaveRun };
    }
    if (facts.mayHaveRun && facts.relayed) {
        // The daemon that received the request from its caller knows more possible targets.
        return { RetryDenial::EntryDecides };
    }
    if (facts.cannotContinue) {
        // The caller already has a part of another run's answer, even if the attempt to continue that run was refused or not
        // sent.
        return { RetryDenial::NotResumable };
    }
    if (!facts.sent) {
        // Nothing was sent, so another target costs no upstream anything.
        return {};
    }
    if (facts.reachedNoUpstream) {
        return {};
    }
    if (facts.sends >= facts.attempts) {
        return { RetryDenial::AttemptsUsed };
    }
    return { RetryDenial::None, true };
}

} // namespace Portpaddle
