// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/repeat_rules.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<RepeatDenial, 8> denialNames{ { "none", "ended", "may_have_run", "entry_decides", "not_resumable",
                                                    "attempts_used", "budget_spent", "ends_upstreams" } };

} // namespace

std::string_view nameOf(RepeatDenial denial)
{
    return denialNames[denial];
}

RepeatDecision decideRepeat(const RepeatFacts &facts)
{
    if (facts.ended) {
        return { RepeatDenial::Ended };
    }
    if (facts.held) {
        return { RepeatDenial::EndsUpstreams };
    }
    if (facts.mayHaveRun && !facts.mayRunTwice) {
        return { RepeatDenial::MayHaveRun };
    }
    if (facts.mayHaveRun && facts.relayed) {
        // The daemon that took the request from its caller knows more places to go on.
        return { RepeatDenial::EntryDecides };
    }
    if (facts.cannotContinue) {
        // Its caller has a part of another run, also where the attempt to go on with that run was refused or never left.
        return { RepeatDenial::NotResumable };
    }
    if (!facts.sent) {
        // Nothing left this daemon: another target costs nobody anything.
        return {};
    }
    if (facts.unseen) {
        return {};
    }
    if (facts.sends >= facts.attempts) {
        return { RepeatDenial::AttemptsUsed };
    }
    return { RepeatDenial::None, true };
}

} // namespace Portpaddle
