// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps what upstreams have announced to this daemon: that they leave, and for how long they ask for no requests.
#pragma once

#include "portpaddle/routing/decision.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/upstream_notices/answer_notice.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Portpaddle {

class Metrics;

/// Maximum number of incarnations that are no longer listed for which it is kept that they leave or have ended.
inline constexpr std::size_t maxUnlistedIncarnations = 10'000;

/// Keeps the notices of each incarnation of an upstream. Belongs to one event loop.
class UpstreamNotices
{
public:
    explicit UpstreamNotices(Metrics &metrics);

    /// Drops the oldest of too many incarnations that are not in @p view. The others are kept, because the record of an upstream
    /// may expire and return.
    void setView(const FleetView &view, SteadyTime now);
    /// Records the notice in an answer of @p upstream.
    void answered(const std::string &upstream, const AnswerNotice &notice, SteadyTime now);
    /// Records that another incarnation answers at the address of @p upstream.
    void incarnationEnded(const std::string &upstream, SteadyTime now);
    /// Counts a request that is sent to @p upstream in spite of a notice.
    void sent(const std::string &upstream, SteadyTime now);
    /// Returns why no new request may be sent to @p upstream now; None if it may.
    ExclusionReason exclusionReason(const std::string &upstream, SteadyTime now) const;
    /// Like exclusionReason(), for a run whose memory the upstream keeps: such a run may go on there while the upstream leaves.
    ExclusionReason exclusionForMovedRun(const std::string &upstream, SteadyTime now) const;
    /// Returns the time until the first backoff of @p upstreams ends; no value if none of them is excluded by a backoff.
    std::optional<SteadyTime::duration> earliestBackoffEnd(std::span<const std::string *const> upstreams, SteadyTime now) const;
    /// Returns the number of incarnations with a notice.
    std::size_t incarnationCount() const;

private:
    /// The stages of an incarnation; it never returns to an earlier one.
    enum class Stage { Serving, Leaving, Ended };

    struct State
    {
        Stage stage = Stage::Serving;
        SteadyTime backoffUntil{};
        /// Time at which an unreadable notice was last logged.
        std::optional<SteadyTime> unreadableAt;
        /// Time at which the incarnation was last in a view or gave a notice.
        SteadyTime lastKnownAt{};
    };

    void noteLeaving(const std::string &upstream, SteadyTime now);
    void noteBackoff(const std::string &upstream, std::chrono::milliseconds time, SteadyTime now);
    void noteUnreadable(const std::string &upstream, std::string_view what, SteadyTime now);
    State &stateOf(const std::string &upstream, SteadyTime now);
    void forgetOldest(const FleetView &view);

    Metrics &metrics_;
    std::unordered_map<std::string, State> states_;
};

} // namespace Portpaddle
