// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// Equal to the time for which a quarantined request is kept on the platform.
constexpr std::chrono::minutes generationTime{ 10 };
// A large upstream runs some hundred requests when it crashes; 64 such crashes fit.
constexpr std::size_t maxCurrentRequests = 8'192;
// More crashes under one request give no further information.
constexpr std::size_t maxIncarnations = 8;

} // namespace

unsigned CrashLedger::add(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now)
{
    if (current_.size() >= maxCurrentRequests || now - currentSince_ >= generationTime) {
        previous_ = std::exchange(current_, {});
        currentSince_ = now;
    }
    const auto before = previous_.find(request);
    if (before != previous_.end()) {
        current_.emplace(request, std::move(before->second));
        previous_.erase(before);
    }
    Incarnations &incarnations = current_[request];
    const bool known = std::find(incarnations.begin(), incarnations.end(), upstream) != incarnations.end();
    if (!known && incarnations.size() < maxIncarnations) {
        incarnations.push_back(upstream);
    }
    return static_cast<unsigned>(incarnations.size());
}

unsigned CrashLedger::count(const RequestFingerprint &request) const
{
    for (const Generation *generation : { &current_, &previous_ }) {
        const auto found = generation->find(request);
        if (found != generation->end()) {
            return static_cast<unsigned>(found->second.size());
        }
    }
    return 0;
}

std::size_t CrashLedger::size() const
{
    return current_.size() + previous_.size();
}

} // namespace Portpaddle
