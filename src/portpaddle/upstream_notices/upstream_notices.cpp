// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_notices/upstream_notices.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"

#include <algorithm>
#include <vector>

namespace Portpaddle {

namespace {

constexpr std::chrono::seconds unreadableLogInterval{ 10 };

} // namespace

UpstreamNotices::UpstreamNotices(Metrics &metrics) : metrics_(metrics)
{
}

void UpstreamNotices::setView(const FleetView &view, SteadyTime now)
{
    std::size_t unlisted = 0;
    for (auto entry = states_.begin(); entry != states_.end();) {
        State &state = entry->second;
        const bool listed = view.upstreams.contains(entry->first);
        if (listed) {
            state.lastKnownAt = now;
        } else if (state.stage == Stage::Serving && state.backoffUntil <= now) {
            entry = states_.erase(entry);
            continue;
        }
        unlisted += listed ? 0 : 1;
        ++entry;
    }
    if (unlisted > maxUnlistedIncarnations) {
        forgetOldest(view);
    }
}

void UpstreamNotices::forgetOldest(const FleetView &view)
{
    std::vector<std::pair<SteadyTime, const std::string *>> unlisted;
    for (const auto &[upstream, state] : states_) {
        if (!view.upstreams.contains(upstream)) {
            unlisted.emplace_back(state.lastKnownAt, &upstream);
        }
    }
    const auto kept = unlisted.end() - static_cast<std::ptrdiff_t>(maxUnlistedIncarnations);
    std::nth_element(unlisted.begin(), kept, unlisted.end());
    for (auto oldest = unlisted.begin(); oldest != kept; ++oldest) {
        states_.erase(states_.find(*oldest->second));
    }
}

UpstreamNotices::State &UpstreamNotices::stateOf(const std::string &upstream, SteadyTime now)
{
    State &state = states_[upstream];
    state.lastKnownAt = now;
    return state;
}

void UpstreamNotices::answered(const std::string &upstream, const AnswerNotice &notice, SteadyTime now)
{
    if (notice.leaving == LeavingNotice::Leaving) {
        noteLeaving(upstream, now);
    } else if (notice.leaving == LeavingNotice::Unreadable) {
        noteUnreadable(upstream, "leaving", now);
    }
    if (notice.brittle.kind == LimitKind::Unreadable) {
        noteUnreadable(upstream, "brittle", now);
    }
    if (notice.backoff.kind == RetryAfterKind::Named) {
        noteBackoff(upstream, notice.backoff.time, now);
    } else if (notice.backoff.kind == RetryAfterKind::Unreadable) {
        noteUnreadable(upstream, "backoff", now);
    }
}

void UpstreamNotices::noteLeaving(const std::string &upstream, SteadyTime now)
{
    State &state = stateOf(upstream, now);
    if (state.stage == Stage::Serving) {
        state.stage = Stage::Leaving;
        metrics_.count(Counter::LeavingsHeard);
        logEvent(LogEvent::UpstreamLeavingHeard, { { "upstream", upstream } });
    }
}

void UpstreamNotices::noteBackoff(const std::string &upstream, std::chrono::milliseconds time, SteadyTime now)
{
    if (time <= std::chrono::milliseconds(0)) {
        return;
    }
    State &state = stateOf(upstream, now);
    const bool begins = state.backoffUntil <= now;
    state.backoffUntil = std::max(state.backoffUntil, now + time);
    metrics_.count(Counter::BackoffsAsked);
    if (begins) {
        logEvent(LogEvent::UpstreamBackoffAsked, { { "upstream", upstream }, { "for_ms", std::to_string(time.count()) } });
    }
}

void UpstreamNotices::noteUnreadable(const std::string &upstream, std::string_view what, SteadyTime now)
{
    metrics_.count(Counter::NoticesUnreadable);
    State &state = stateOf(upstream, now);
    if (!state.unreadableAt || now - *state.unreadableAt >= unreadableLogInterval) {
        state.unreadableAt = now;
        logEvent(LogEvent::UpstreamNoticeUnreadable, { { "upstream", upstream }, { "notice", std::string(what) } });
    }
}

void UpstreamNotices::incarnationEnded(const std::string &upstream, SteadyTime now)
{
    stateOf(upstream, now).stage = Stage::Ended;
}

void UpstreamNotices::sent(const std::string &upstream, SteadyTime now)
{
    if (exclusionReason(upstream, now) != ExclusionReason::None) {
        metrics_.count(Counter::SentPastNotice);
    }
}

ExclusionReason UpstreamNotices::exclusionReason(const std::string &upstream, SteadyTime now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return ExclusionReason::None;
    }
    if (found->second.stage != Stage::Serving) {
        return ExclusionReason::Leaving;
    }
    return found->second.backoffUntil > now ? ExclusionReason::BackingOff : ExclusionReason::None;
}

ExclusionReason UpstreamNotices::exclusionForMovedRun(const std::string &upstream, SteadyTime now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return ExclusionReason::None;
    }
    if (found->second.stage == Stage::Ended) {
        return ExclusionReason::Leaving;
    }
    return found->second.backoffUntil > now ? ExclusionReason::BackingOff : ExclusionReason::None;
}

std::optional<SteadyTime::duration> UpstreamNotices::earliestBackoffEnd(std::span<const std::string *const> upstreams,
                                                                        SteadyTime now) const
{
    std::optional<SteadyTime::duration> earliestEnd;
    for (const std::string *upstream : upstreams) {
        if (exclusionReason(*upstream, now) == ExclusionReason::BackingOff) {
            const SteadyTime::duration remaining = states_.at(*upstream).backoffUntil - now;
            earliestEnd = earliestEnd ? std::min(*earliestEnd, remaining) : remaining;
        }
    }
    return earliestEnd;
}

std::size_t UpstreamNotices::incarnationCount() const
{
    return states_.size();
}

} // namespace Portpaddle
