// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Computes the share of an organisation's limit that one daemon may spend.
#pragma once

#include <chrono>

namespace Portpaddle {

using Millis = std::chrono::milliseconds;

/// The input from which a share is computed.
struct ShareInput
{
    /// Demand at this daemon in requests a second.
    double ownDemand = 0;
    /// Demand at all other daemons in requests a second, as last reported.
    double othersDemand = 0;
    /// Number of daemons that are live or disappeared recently.
    unsigned daemons = 1;
    /// Whether some of these daemons cannot be reached; no share may grow at their expense.
    bool partitioned = false;
};

/// Returns the share of the limit, in (0, 1], that this daemon should move to.
double targetShare(const ShareInput &input);

/// Moves a share towards its target: reduces it at once, at most doubles it every 10 s, and never raises it while daemons are
/// partitioned.
class ShareController
{
public:
    double share() const;
    void update(const ShareInput &input, Millis now);

private:
    double share_ = 0;
    Millis updatedAt_{ 0 };
};

} // namespace Portpaddle
