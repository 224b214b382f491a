// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_watch.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// The record of an upstream that ended without a word goes after three heartbeats of silence, about four seconds.
constexpr Millis longestWait{ 10'000 };
// A large upstream runs some hundred requests at once, and a daemon has a part of them.
constexpr std::size_t maxSuspects = 512;
constexpr std::size_t maxLives = 1'024;

} // namespace

bool CrashWatch::broke(const std::string &upstream, const RequestFingerprint &fingerprint, SteadyTime now)
{
    const auto known = lives_.find(upstream);
    const bool first = known == lives_.end();
    if (first && lives_.size() >= maxLives) {
        return false;
    }
    Life &life = first ? lives_.emplace(upstream, Life{ {}, now }).first->second : known->second;
    const bool listed = std::find(life.suspects.begin(), life.suspects.end(), fingerprint) != life.suspects.end();
    if (!listed && life.suspects.size() < maxSuspects) {
        life.suspects.push_back(fingerprint);
    }
    return first;
}

void CrashWatch::lives(const std::string &upstream)
{
    const auto known = lives_.find(upstream);
    if (known != lives_.end() && !known->second.over) {
        lives_.erase(known);
    }
}

void CrashWatch::ended(const std::string &upstream, SteadyTime now)
{
    const auto known = lives_.find(upstream);
    if (known != lives_.end()) {
        known->second.over = true;
    } else if (lives_.size() < maxLives) {
        // Runs whose break is noticed a moment later count as well.
        lives_.emplace(upstream, Life{ {}, now, true });
    }
}

bool CrashWatch::hasEnded(const std::string &upstream) const
{
    const auto known = lives_.find(upstream);
    return known != lives_.end() && known->second.over;
}

std::vector<std::string> CrashWatch::undecided() const
{
    std::vector<std::string> result;
    for (const auto &[upstream, life] : lives_) {
        if (!life.over) {
            result.push_back(upstream);
        }
    }
    return result;
}

std::vector<RequestFingerprint> CrashWatch::takeSuspects(const std::string &upstream)
{
    const auto known = lives_.find(upstream);
    return known == lives_.end() ? std::vector<RequestFingerprint>{} : std::exchange(known->second.suspects, {});
}

void CrashWatch::expire(SteadyTime now)
{
    std::erase_if(lives_, [now](const auto &item) { return now - item.second.since >= longestWait; });
}

std::size_t CrashWatch::size() const
{
    return lives_.size();
}

} // namespace Portpaddle
