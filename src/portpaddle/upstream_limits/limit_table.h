// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which upstreams have named a limit, as far as a daemon knows from answers, from other daemons and from the platform.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// Limits as the platform has them, by the hash of the upstream's life; zero where one has ended.
using StoredLimits = std::unordered_map<std::uint64_t, double>;

/// What is known of one upstream that has named a limit.
struct KnownLimit
{
    /// Requests a second from all daemons together; where it has ended what was named last.
    double perSecond = 0;
    bool ended = false;
    /// When this daemon learned of this state.
    SteadyTime since{};
    /// When the newest answer that says so reached a daemon; means nothing where only the platform says it.
    SteadyTime saidAt{};
    /// Nobody has told it yet but the platform's record, whose age is unknown.
    bool onlyStored = false;
    /// "answer", "platform", or the daemon that told.
    std::string source;
};

/// What a piece of news did.
enum class LimitChange { None, Named, Changed, Ended };

/// Belongs to one event loop. Times of other daemons are in this daemon's clock.
class LimitTable
{
public:
    /// An answer that arrived now names @p perSecond.
    LimitChange named(std::uint64_t upstream, double perSecond, SteadyTime now);
    /// An answer without a limit arrived now, to a request that was sent at @p sentAt.
    LimitChange answeredWithout(std::uint64_t upstream, SteadyTime sentAt, SteadyTime now);
    /// Another daemon tells what it knows.
    LimitChange told(std::uint64_t upstream, const KnownLimit &limit, SteadyTime now);
    /// The platform has @p perSecond; counts only while nothing newer is known.
    LimitChange stored(std::uint64_t upstream, double perSecond, SteadyTime now);
    /// Null where the upstream never named a limit.
    const KnownLimit *find(std::uint64_t upstream) const;
    const std::unordered_map<std::uint64_t, KnownLimit> &all() const;
    void forget(std::uint64_t upstream);

private:
    LimitChange put(std::uint64_t upstream, KnownLimit limit);

    std::unordered_map<std::uint64_t, KnownLimit> limits_;
};

/// Whether both say the same, up to the precision with which daemons tell it.
bool sameTerms(const KnownLimit &one, const KnownLimit &other);

} // namespace Portpaddle
