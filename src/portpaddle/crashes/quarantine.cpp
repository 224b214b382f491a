// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/quarantine.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// A record is written again after half of its lifetime, so that the other half is left for retries while the platform is
// unavailable.
constexpr auto renewalAge = quarantineTime / 2;
// A written record returns with the platform's changes after about half a second; until then it must not be written again.
constexpr Millis minWriteInterval{ 5'000 };

} // namespace

bool Quarantine::insert(const RequestFingerprint &request, SteadyTime now)
{
    if (requests_.contains(request)) {
        return false;
    }
    evictOldest();
    requests_.emplace(request, Entry{ now, now, std::nullopt, std::nullopt });
    return true;
}

void Quarantine::evictOldest()
{
    if (requests_.size() < maxQuarantined) {
        return;
    }
    const auto oldest = std::min_element(requests_.begin(), requests_.end(),
                                         [](const auto &a, const auto &b) { return a.second.receivedAt < b.second.receivedAt; });
    requests_.erase(oldest);
}

void Quarantine::setStored(const QuarantinedRequests &stored, SteadyTime now)
{
    std::erase_if(requests_, [&stored](const auto &item) { return item.second.storedAt && !stored.contains(item.first); });
    for (const auto &[request, at] : stored) {
        insert(request, now);
        requests_.at(request).storedAt = at;
    }
}

bool Quarantine::empty() const
{
    return requests_.empty();
}

bool Quarantine::isQuarantined(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return false;
    }
    found->second.receivedAt = now;
    return true;
}

std::vector<Quarantine::Unwritten> Quarantine::unwritten(SteadyTime now) const
{
    std::vector<Unwritten> result;
    for (const auto &[request, entry] : requests_) {
        if (entry.writeRequestedAt && now - *entry.writeRequestedAt < minWriteInterval) {
            continue;
        }
        if (!entry.storedAt) {
            result.push_back({ request, entry.since });
            continue;
        }
        const SteadyTime renewal = *entry.storedAt + renewalAge;
        if (renewal <= now && entry.receivedAt >= renewal) {
            result.push_back({ request, renewal });
        }
    }
    return result;
}

void Quarantine::recordWriteRequest(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = requests_.find(request);
    if (found != requests_.end()) {
        found->second.writeRequestedAt = now;
    }
}

void Quarantine::expire(SteadyTime now)
{
    std::erase_if(requests_,
                  [now](const auto &item) { return !item.second.storedAt && now - item.second.receivedAt >= quarantineTime; });
}

} // namespace Portpaddle
