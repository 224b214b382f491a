// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/completed_parts.h"

#include <algorithm>

namespace Portpaddle {

CompletedParts::CompletedParts() : slots_(std::make_unique<std::array<Slot, slotCount>>())
{
}

void CompletedParts::add(const std::vector<RequestFingerprint> &parts, SteadyTime now)
{
    for (const RequestFingerprint &part : parts) {
        slots_->at(part.low % slotCount) = { part, now };
    }
    completions_.at(nextCompletion_++ % countedCompletions) = now;
}

bool CompletedParts::containsSince(const RequestFingerprint &part, SteadyTime since) const
{
    const Slot &slot = slots_->at(part.low % slotCount);
    return slot.part == part && slot.at > since;
}

unsigned CompletedParts::completionsSince(SteadyTime since) const
{
    const auto after = [since](SteadyTime at) { return at > since; };
    return static_cast<unsigned>(std::count_if(completions_.begin(), completions_.end(), after));
}

} // namespace Portpaddle
