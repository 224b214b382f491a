// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Limits the requests that one daemon sends to a cold upstream, so that all daemons together stay within the rate that it
/// sustains.
#pragma once

#include "portpaddle/net/asio.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Portpaddle {

/// Bounds of the whole system for one cold upstream.
struct ColdGateOptions
{
    /// Allowed multiple of the rate that the upstream sustains.
    double overshoot = 1;
    /// Requests a second allowed in addition.
    double slack = 0;
    /// Daemons that may send to the upstream at the same time.
    unsigned daemons = 1;
    /// Time since which this process is on the list of daemons, so that others can count it; no value while it is not listed.
    std::optional<SteadyTime> listedSince;
};

/// Counts the requests of the last second. Must only be used from one event loop.
class ColdGate
{
public:
    void setOptions(const ColdGateOptions &options);
    /// Returns whether one more request may be sent now to @p upstream, which sustains @p perSecond. Where the bound is too small
    /// to be divided among all daemons, only the @p owner of an upstream sends.
    bool allows(const std::string &upstream, double perSecond, bool owner, SteadyTime now);
    /// Counts one request; call when the upstream is chosen, before the connection is open.
    void take(const std::string &upstream, SteadyTime now);
    void forget(const std::string &upstream);

private:
    /// Returns the number of requests that this daemon may send in a second.
    double allowedSends(double perSecond, bool owner) const;

    ColdGateOptions options_;
    std::unordered_map<std::string, std::deque<SteadyTime>> sends_;
};

} // namespace Portpaddle
