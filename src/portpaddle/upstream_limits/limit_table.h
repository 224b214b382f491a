// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The limits that upstreams have named, as known from answers, from other daemons and from the platform.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// The rates of the platform's records, by the hash of the upstream's incarnation; 0 if the limit has ended.
using StoredLimits = std::unordered_map<std::uint64_t, double>;

/// The state of the limit of one upstream.
struct KnownLimit
{
    /// Requests a second from all daemons together; the last named rate if the limit has ended.
    double perSecond = 0;
    bool ended = false;
    /// Time at which this daemon learned of this state.
    SteadyTime since{};
    /// Time at which the newest answer with this state reached any daemon; without meaning if only the platform's record is
    /// known.
    SteadyTime answeredAt{};
    /// Whether the limit is known only from the platform's record, whose age is unknown.
    bool onlyStored = false;
    /// "answer", "platform", or the id of the daemon that reported the limit.
    std::string source;
};

/// How an update changed the limit of an upstream.
enum class LimitChange { None, Named, Changed, Ended };

/// Keeps the limit of each upstream. Times from other daemons are converted to this daemon's clock. Belongs to one event loop.
class LimitTable
{
public:
    /// Records an answer that arrived now and names @p perSecond.
    LimitChange named(std::uint64_t upstream, double perSecond, SteadyTime now);
    /// Records an answer without a limit that arrived now, to a request that was sent at @p sentAt.
    LimitChange answeredWithout(std::uint64_t upstream, SteadyTime sentAt, SteadyTime now);
    /// Records a limit that another daemon reported.
    LimitChange reported(std::uint64_t upstream, const KnownLimit &limit, SteadyTime now);
    /// Records the rate of the platform's record; ignored if the limit is known from another source.
    LimitChange stored(std::uint64_t upstream, double perSecond, SteadyTime now);
    /// Returns the limit of the upstream; null if it never named one.
    const KnownLimit *find(std::uint64_t upstream) const;
    const std::unordered_map<std::uint64_t, KnownLimit> &all() const;
    void forget(std::uint64_t upstream);

private:
    LimitChange put(std::uint64_t upstream, KnownLimit limit);

    std::unordered_map<std::uint64_t, KnownLimit> limits_;
};

/// Returns whether both are the same limit, up to the precision of rates in digests.
bool isSameLimit(const KnownLimit &one, const KnownLimit &other);

} // namespace Portpaddle
