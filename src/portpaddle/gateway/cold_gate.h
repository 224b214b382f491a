// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Bounds the requests that one daemon sends to a cold upstream, so that all daemons together stay within what it bears.
#pragma once

#include "portpaddle/net/asio.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// Bounds of the whole system on one cold upstream.
struct ColdTerms
{
    /// Times the rate that the upstream bears.
    double overshoot = 1;
    /// Requests a second besides.
    double slack = 0;
    /// Daemons that may send to it at the same time.
    unsigned daemons = 1;
    /// Since when the others can know that this process is one of them; no value where they cannot.
    std::optional<SteadyTime> listedSince;
};

/// Counts sends in the last second. Belongs to one event loop.
class ColdGate
{
public:
    void setOptions(const ColdTerms &terms);
    /// Whether one more request may be sent now to @p upstream, which bears @p perSecond. Only the @p owner of an upstream sends
    /// where the bound is too small to be divided among all daemons.
    bool allows(const std::string &upstream, double perSecond, bool owner, SteadyTime now);
    /// Takes one of the sends; call when the upstream is chosen, before the connection is there.
    void take(const std::string &upstream, SteadyTime now);
    void forget(const std::string &upstream);

private:
    /// What this daemon may send in a second.
    double shareOf(double perSecond, bool owner) const;

    ColdTerms terms_;
    std::unordered_map<std::string, std::deque<SteadyTime>> sends_;
};

} // namespace Portpaddle
