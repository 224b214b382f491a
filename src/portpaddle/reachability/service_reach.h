// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Whether this daemon reaches the upstreams of one service, as its own connections show.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <set>
#include <string>
#include <string_view>

namespace Portpaddle {

/// How a daemon reaches the upstreams of a service.
enum class Reach {
    /// New connections are accepted, or nothing shows otherwise.
    Whole,
    /// Open connections work, new ones fail.
    OpenConnections,
    None,
};
std::string_view nameOf(Reach reach);

/// Tells a failing path of this daemon from the failure of single upstreams: connections to several of them fail in a row.
class ServiceReach
{
public:
    /// Records that a new connection to an upstream was opened.
    void connected();
    /// Records that bytes came from an upstream.
    void heard(SteadyTime now);
    /// Records that no connection to @p upstream, one of @p listed upstreams, could be opened.
    void connectFailed(const std::string &upstream, std::size_t listed, SteadyTime now);
    Reach reach() const;
    /// Whether bytes came from an upstream since @p time.
    bool heardSince(SteadyTime time) const;
    /// Whether a connection to @p upstream has failed since the last one that was opened.
    bool hasFailed(const std::string &upstream) const;

private:
    std::set<std::string> failed_;
    SteadyTime firstFailureAt_{};
    SteadyTime lastFailureAt_{};
    SteadyTime heardAt_{};
    Reach reach_ = Reach::Whole;
};

} // namespace Portpaddle
