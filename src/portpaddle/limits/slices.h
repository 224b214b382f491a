// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The part of an organisation's limit that one daemon may spend.
#pragma once

#include <chrono>

namespace Portpaddle {

using Millis = std::chrono::milliseconds;

/// What a slice is computed from.
struct SliceInput
{
    /// Requests a second asked of this daemon.
    double ownDemand = 0;
    /// Requests a second asked of all others, as last heard.
    double othersDemand = 0;
    /// Daemons that count: the live ones and those that vanished recently.
    unsigned daemons = 1;
    /// Some of them cannot be heard: nobody may grow on their account.
    bool partitioned = false;
};

/// The share of the limit, in (0, 1], that this daemon should move to.
double targetShare(const SliceInput &input);

/// Moves a share towards its target: down at once, up at most twofold per interval, and not at all while cut off.
class ShareMover
{
public:
    double share() const;
    void update(const SliceInput &input, Millis now);

private:
    double share_ = 0;
    Millis updatedAt_{ 0 };
};

} // namespace Portpaddle
