// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_notices/upstream_notices.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"

namespace Portpaddle {

namespace {

constexpr std::chrono::seconds betweenUnreadableLines{ 10 };

} // namespace

UpstreamNotices::UpstreamNotices(Metrics &metrics) : metrics_(metrics)
{
}

void UpstreamNotices::answered(const std::string &upstream, const AnswerNotice &notice, SteadyTime now)
{
    if (notice.leaving == LeavingWord::Leaving) {
        noteLeaving(upstream);
    } else if (notice.leaving == LeavingWord::Unreadable) {
        noteUnreadable(upstream, "leaving", now);
    }
    if (notice.backoff.word == RetryAfterWord::Named) {
        noteBackoff(upstream, notice.backoff.time, now);
    } else if (notice.backoff.word == RetryAfterWord::Unreadable) {
        noteUnreadable(upstream, "backoff", now);
    }
}

void UpstreamNotices::noteLeaving(const std::string &upstream)
{
    State &state = states_[upstream];
    if (!state.leaving) {
        state.leaving = true;
        metrics_.count(Counter::LeavingsHeard);
        logEvent(LogEvent::UpstreamLeavingHeard, { { "upstream", upstream } });
    }
}

void UpstreamNotices::noteBackoff(const std::string &upstream, std::chrono::milliseconds time, SteadyTime now)
{
    if (time <= std::chrono::milliseconds(0)) {
        return;
    }
    State &state = states_[upstream];
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
    State &state = states_[upstream];
    if (now - state.unreadableAt >= betweenUnreadableLines) {
        state.unreadableAt = now;
        logEvent(LogEvent::UpstreamNoticeUnreadable, { { "upstream", upstream }, { "notice", std::string(what) } });
    }
}

void UpstreamNotices::sent(const std::string &upstream, SteadyTime now)
{
    const auto found = states_.find(upstream);
    if (found != states_.end() && (found->second.leaving || found->second.backoffUntil > now)) {
        metrics_.count(Counter::SentPastNotice);
    }
}

} // namespace Portpaddle
