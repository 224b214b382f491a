// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What upstreams have told this daemon about themselves: that they leave, and for how long they want nothing from it.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/upstream_notices/answer_notice.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Portpaddle {

class Metrics;

/// Lives of upstreams that are on no list any more, and of which is remembered that they leave or have ended.
inline constexpr std::size_t maxUnlistedIncarnations = 10'000;

/// Belongs to one event loop.
class UpstreamNotices
{
public:
    explicit UpstreamNotices(Metrics &metrics);

    /// Lives out of @p view are remembered as long as there is room: an entry may lapse and come back.
    void setView(const FleetView &view, SteadyTime now);
    /// An answer of @p upstream came.
    void answered(const std::string &upstream, const AnswerNotice &notice, SteadyTime now);
    /// Another life answers at its address.
    void incarnationEnded(const std::string &upstream, SteadyTime now);
    /// A request leaves for @p upstream.
    void sent(const std::string &upstream, SteadyTime now);
    /// Why no new request may be sent to @p upstream now; none where it may.
    ExclusionReason exclusionReason(const std::string &upstream, SteadyTime now) const;
    /// The same of a run whose memory is kept there: it may go on while the upstream leaves.
    ExclusionReason exclusionForMovedRun(const std::string &upstream, SteadyTime now) const;
    /// When the first of @p upstreams that asked for time may be asked again; none where no time is what bars them.
    std::optional<SteadyTime::duration> earliestBackoffEnd(std::span<const std::string *const> upstreams, SteadyTime now) const;
    /// Lives of which something is remembered.
    std::size_t remembered() const;

private:
    /// Each is final, and what comes later includes what came before.
    enum class Stage { Serving, Leaving, Over };

    struct State
    {
        Stage stage = Stage::Serving;
        SteadyTime backoffUntil{};
        /// When an unreadable notice was last logged.
        std::optional<SteadyTime> unreadableAt;
        /// When it was last in a view, or told something.
        SteadyTime knownAt{};
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
