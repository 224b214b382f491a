// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The parts of prompts that upstreams have answered within the last moments.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace Portpaddle {

/// Keeps a bounded number of parts; a later one may replace an earlier one. Belongs to one event loop.
class CompletedParts
{
public:
    CompletedParts();

    /// Records that an upstream completed a request with these parts in its prompt.
    void add(const std::vector<RequestFingerprint> &parts, SteadyTime now);
    /// Returns whether a request with @p part was completed after @p since.
    bool containsSince(const RequestFingerprint &part, SteadyTime since) const;
    /// Returns how many requests with a prompt were completed after @p since, up to a bound.
    unsigned completionsSince(SteadyTime since) const;

private:
    static constexpr std::size_t slotCount = 8'192;
    static constexpr std::size_t countedCompletions = 64;

    struct Slot
    {
        RequestFingerprint part;
        SteadyTime at{};
    };

    std::unique_ptr<std::array<Slot, slotCount>> slots_;
    /// The times of the last completions, overwritten in turn.
    std::array<SteadyTime, countedCompletions> completions_{};
    std::size_t nextCompletion_ = 0;
};

} // namespace Portpaddle
