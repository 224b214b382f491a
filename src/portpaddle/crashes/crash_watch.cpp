// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_watch.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// The record of an upstream that ended without notice is removed after three missed heartbeats, about four seconds.
constexpr Millis maxEntryAge{ 10'000 };
// A large upstream runs some hundred requests at once, and one daemon sends a part of them.
constexpr std::size_t maxSuspects = 512;
constexpr std::size_t maxIncarnations = 1'024;

void addOnce(std::vector<RequestFingerprint> &suspects, const RequestFingerprint &suspect)
{
    const bool listed = std::find(suspects.begin(), suspects.end(), suspect) != suspects.end();
    if (!listed && suspects.size() < maxSuspects) {
        suspects.push_back(suspect);
    }
}

} // namespace

bool CrashWatch::recordBreak(const std::string &upstream, const RequestFingerprint &fingerprint, SteadyTime now)
{
    const auto known = incarnations_.find(upstream);
    const bool first = known == incarnations_.end();
    if (first && incarnations_.size() >= maxIncarnations) {
        return false;
    }
    Incarnation &incarnation = first ? incarnations_.emplace(upstream, Incarnation{ {}, {}, now }).first->second : known->second;
    addOnce(incarnation.suspects, fingerprint);
    return first;
}

void CrashWatch::recordParts(const std::string &upstream, const std::vector<RequestFingerprint> &parts)
{
    const auto known = incarnations_.find(upstream);
    if (known == incarnations_.end()) {
        return;
    }
    for (const RequestFingerprint &part : parts) {
        addOnce(known->second.parts, part);
    }
}

void CrashWatch::confirmAlive(const std::string &upstream)
{
    const auto known = incarnations_.find(upstream);
    if (known != incarnations_.end() && !known->second.endConfirmed) {
        incarnations_.erase(known);
    }
}

void CrashWatch::confirmEnded(const std::string &upstream, SteadyTime now)
{
    const auto known = incarnations_.find(upstream);
    if (known != incarnations_.end()) {
        known->second.endConfirmed = true;
    } else if (incarnations_.size() < maxIncarnations) {
        // Keeps the entry, since runs whose break is detected a moment later count as well.
        incarnations_.emplace(upstream, Incarnation{ {}, {}, now, true });
    }
}

bool CrashWatch::hasEnded(const std::string &upstream) const
{
    const auto known = incarnations_.find(upstream);
    return known != incarnations_.end() && known->second.endConfirmed;
}

bool CrashWatch::isInDoubt(const std::string &upstream) const
{
    const auto known = incarnations_.find(upstream);
    return known != incarnations_.end() && !known->second.endConfirmed;
}

std::vector<std::string> CrashWatch::unconfirmed() const
{
    std::vector<std::string> result;
    for (const auto &[upstream, incarnation] : incarnations_) {
        if (!incarnation.endConfirmed) {
            result.push_back(upstream);
        }
    }
    return result;
}

std::vector<RequestFingerprint> CrashWatch::takeSuspects(const std::string &upstream)
{
    const auto known = incarnations_.find(upstream);
    return known == incarnations_.end() ? std::vector<RequestFingerprint>{} : std::exchange(known->second.suspects, {});
}

std::vector<RequestFingerprint> CrashWatch::takeSuspectedParts(const std::string &upstream)
{
    const auto known = incarnations_.find(upstream);
    return known == incarnations_.end() ? std::vector<RequestFingerprint>{} : std::exchange(known->second.parts, {});
}

void CrashWatch::expire(SteadyTime now)
{
    std::erase_if(incarnations_, [now](const auto &item) { return now - item.second.since >= maxEntryAge; });
}

std::size_t CrashWatch::size() const
{
    return incarnations_.size();
}

} // namespace Portpaddle
