// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/limit_table.h"

#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// Relative to the rate; digests hold rates in single precision.
constexpr double sameRate = 0.001;
// A reported limit seems newer than it is by its transit time. Two daemons that report the same limit to each other must not make
// it newer each time.
constexpr std::chrono::milliseconds maxTransitTime{ 250 };

} // namespace

bool isSameLimit(const KnownLimit &one, const KnownLimit &other)
{
    return one.ended == other.ended && (one.ended || std::abs(one.perSecond - other.perSecond) <= sameRate * one.perSecond);
}

LimitChange LimitTable::put(std::uint64_t upstream, KnownLimit limit)
{
    const auto [entry, added] = limits_.try_emplace(upstream, limit);
    KnownLimit &known = entry->second;
    const bool limitedBefore = !added && !known.ended;
    if (!added && isSameLimit(known, limit)) {
        known.answeredAt = limit.answeredAt;
        known.onlyStored = limit.onlyStored;
        return LimitChange::None;
    }
    if (limit.ended) {
        limit.perSecond = limitedBefore ? known.perSecond : limit.perSecond;
    }
    known = std::move(limit);
    if (known.ended) {
        return limitedBefore ? LimitChange::Ended : LimitChange::None;
    }
    return limitedBefore ? LimitChange::Changed : LimitChange::Named;
}

LimitChange LimitTable::named(std::uint64_t upstream, double perSecond, SteadyTime now)
{
    return put(upstream, { perSecond, false, now, now, false, "answer" });
}

// An answer without a limit to a request that was sent before the limit was named may be older than the answer that named it.
LimitChange LimitTable::answeredWithout(std::uint64_t upstream, SteadyTime sentAt, SteadyTime now)
{
    const KnownLimit *known = find(upstream);
    const bool remains = known == nullptr || known->ended || (!known->onlyStored && sentAt <= known->answeredAt);
    return remains ? LimitChange::None : put(upstream, { known->perSecond, true, now, now, false, "answer" });
}

LimitChange LimitTable::reported(std::uint64_t upstream, const KnownLimit &limit, SteadyTime now)
{
    const KnownLimit *known = find(upstream);
    if (known == nullptr && limit.ended) {
        return LimitChange::None;
    }
    const bool first = known == nullptr || known->onlyStored;
    const SteadyTime::duration transitTime = !first && isSameLimit(*known, limit) ? maxTransitTime : SteadyTime::duration::zero();
    if (!first && limit.answeredAt <= known->answeredAt + transitTime) {
        return LimitChange::None;
    }
    KnownLimit accepted = limit;
    accepted.since = now;
    return put(upstream, std::move(accepted));
}

LimitChange LimitTable::stored(std::uint64_t upstream, double perSecond, SteadyTime now)
{
    const KnownLimit *known = find(upstream);
    const bool knownOtherwise = known != nullptr && !known->onlyStored;
    if (knownOtherwise || (known == nullptr && perSecond <= 0)) {
        return LimitChange::None;
    }
    return put(upstream, { perSecond, perSecond <= 0, now, SteadyTime{}, true, "platform" });
}

const KnownLimit *LimitTable::find(std::uint64_t upstream) const
{
    const auto found = limits_.find(upstream);
    return found == limits_.end() ? nullptr : &found->second;
}

const std::unordered_map<std::uint64_t, KnownLimit> &LimitTable::all() const
{
    return limits_;
}

void LimitTable::forget(std::uint64_t upstream)
{
    limits_.erase(upstream);
}

} // namespace Portpaddle
