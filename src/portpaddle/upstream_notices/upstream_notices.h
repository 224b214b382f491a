// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What upstreams have told this daemon about themselves: that they leave, and for how long they want nothing from it.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/upstream_notices/answer_notice.h"

#include <string>
#include <unordered_map>

namespace Portpaddle {

class Metrics;

/// Belongs to one event loop.
class UpstreamNotices
{
public:
    explicit UpstreamNotices(Metrics &metrics);

    /// An answer of @p upstream came.
    void answered(const std::string &upstream, const AnswerNotice &notice, SteadyTime now);
    /// A request leaves for @p upstream.
    void sent(const std::string &upstream, SteadyTime now);

private:
    struct State
    {
        bool leaving = false;
        SteadyTime backoffUntil{};
        /// When an unreadable notice was last logged.
        SteadyTime unreadableAt{};
    };

    void noteLeaving(const std::string &upstream);
    void noteBackoff(const std::string &upstream, std::chrono::milliseconds time, SteadyTime now);
    void noteUnreadable(const std::string &upstream, std::string_view what, SteadyTime now);

    Metrics &metrics_;
    std::unordered_map<std::string, State> states_;
};

} // namespace Portpaddle
