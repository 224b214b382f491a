// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Determines among which daemons of a data centre the fixed part of the retry budget is divided, and whether this daemon may
/// spend its part.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Portpaddle {

/// Depends only on the lists of registered daemons and the times at which they arrived. Belongs to one event loop.
class RetryMembers
{
public:
    explicit RetryMembers(std::string ownId);

    /// Sets how long a daemon has to be on the list before it spends.
    void setSettling(std::chrono::milliseconds settling);
    /// Sets the registered daemons of this daemon's data centre.
    void setListed(std::set<std::string> daemons, SteadyTime now);
    /// Records that the list is the store's present content, not an earlier one. Call a few times a second while the store can
    /// be reached.
    void confirmList(SteadyTime now);
    /// Returns how many daemons may be spending, including this one.
    unsigned count(SteadyTime now) const;
    /// Returns whether this daemon may spend a part of the fixed part now.
    bool maySpend(SteadyTime now) const;
    /// Returns since when this process has been on the list; no value if it never was.
    std::optional<SteadyTime> ownListedSince() const;

private:
    std::string ownId_;
    std::chrono::milliseconds settling_{ 0 };
    std::set<std::string> listed_;
    /// Other daemons that were removed from the list, and when.
    std::map<std::string, SteadyTime> removed_;
    std::optional<SteadyTime> ownListedSince_;
    /// When the store last confirmed that this process is on the list.
    SteadyTime ownConfirmed_{};
};

} // namespace Portpaddle
