// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Among which daemons of a data centre the fixed part of the retry budget is divided, and whether this one may spend of it.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Portpaddle {

/// Belongs to one event loop. A function of the lists of registered daemons and the times at which they came.
class RetryMembers
{
public:
    explicit RetryMembers(std::string ownId);

    /// @p settling is how long a daemon has to be on the list before it spends.
    void setSettling(std::chrono::milliseconds settling);
    /// The daemons of the own data centre that are registered. @p current: the list is what the store has now, not what was known
    /// when it was last reached.
    void setListed(const std::set<std::string> &daemons, bool current, SteadyTime now);
    /// Daemons that may be spending, this one included.
    unsigned count() const;
    bool maySpend(SteadyTime now) const;
    /// Since when this process has been on the list.
    std::optional<SteadyTime> ownListedSince() const;

private:
    std::string ownId_;
    std::chrono::milliseconds settling_{ 0 };
    /// When each daemon was last on the list.
    std::map<std::string, SteadyTime> lastListed_;
    std::optional<SteadyTime> ownListedSince_;
    /// When it was last known to be.
    SteadyTime ownConfirmed_{};
};

} // namespace Portpaddle
