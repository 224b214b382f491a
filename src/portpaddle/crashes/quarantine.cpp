// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/quarantine.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Written again after half of its time, so that the other half is left for tries while the platform is away.
constexpr auto renewAfter = quarantineTime / 2;
// From the write of a record until its return with the changes of the platform it takes about half a second.
constexpr Millis betweenWrites{ 5'000 };

} // namespace

bool Quarantine::hold(const RequestFingerprint &request, SteadyTime now)
{
    if (held_.contains(request)) {
        return false;
    }
    makeRoom();
    held_.emplace(request, Held{ now, now, std::nullopt, std::nullopt });
    return true;
}

void Quarantine::makeRoom()
{
    if (held_.size() < maxQuarantined) {
        return;
    }
    const auto oldest = std::min_element(held_.begin(), held_.end(),
                                         [](const auto &a, const auto &b) { return a.second.cameAt < b.second.cameAt; });
    held_.erase(oldest);
}

void Quarantine::setStored(const QuarantinedRequests &stored, SteadyTime now)
{
    std::erase_if(held_, [&stored](const auto &item) { return item.second.storedAt && !stored.contains(item.first); });
    for (const auto &[request, at] : stored) {
        hold(request, now);
        held_.at(request).storedAt = at;
    }
}

bool Quarantine::empty() const
{
    return held_.empty();
}

bool Quarantine::isQuarantined(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = held_.find(request);
    if (found == held_.end()) {
        return false;
    }
    found->second.cameAt = now;
    return true;
}

std::vector<Quarantine::Unwritten> Quarantine::unwritten(SteadyTime now) const
{
    std::vector<Unwritten> result;
    for (const auto &[request, held] : held_) {
        if (held.askedAt && now - *held.askedAt < betweenWrites) {
            continue;
        }
        if (!held.storedAt) {
            result.push_back({ request, held.since });
            continue;
        }
        const SteadyTime renewal = *held.storedAt + renewAfter;
        if (renewal <= now && held.cameAt >= renewal) {
            result.push_back({ request, renewal });
        }
    }
    return result;
}

void Quarantine::askedToWrite(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = held_.find(request);
    if (found != held_.end()) {
        found->second.askedAt = now;
    }
}

void Quarantine::expire(SteadyTime now)
{
    std::erase_if(held_, [now](const auto &item) { return !item.second.storedAt && now - item.second.cameAt >= quarantineTime; });
}

} // namespace Portpaddle
