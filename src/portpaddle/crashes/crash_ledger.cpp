// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// As long as the hold on a request is kept on the platform.
constexpr std::chrono::minutes generationTime{ 10 };
// A large upstream has some hundred requests when it ends; 64 such ends fit.
constexpr std::size_t maxYoung = 8'192;
// More ends of upstreams say nothing more.
constexpr std::size_t maxLives = 8;

} // namespace

unsigned CrashLedger::add(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now)
{
    if (young_.size() >= maxYoung || now - youngSince_ >= generationTime) {
        old_ = std::exchange(young_, {});
        youngSince_ = now;
    }
    const auto before = old_.find(request);
    if (before != old_.end()) {
        young_.emplace(request, std::move(before->second));
        old_.erase(before);
    }
    Lives &lives = young_[request];
    const bool known = std::find(lives.begin(), lives.end(), upstream) != lives.end();
    if (!known && lives.size() < maxLives) {
        lives.push_back(upstream);
    }
    return static_cast<unsigned>(lives.size());
}

unsigned CrashLedger::count(const RequestFingerprint &request) const
{
    for (const Generation *generation : { &young_, &old_ }) {
        const auto found = generation->find(request);
        if (found != generation->end()) {
            return static_cast<unsigned>(found->second.size());
        }
    }
    return 0;
}

std::size_t CrashLedger::size() const
{
    return young_.size() + old_.size();
}

} // namespace Portpaddle
