// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// In which order a daemon tells others of itself.
#pragma once

#include <cstddef>
#include <cstdint>

namespace Portpaddle {

/// Goes round a list from a place that depends on the daemon: those that start together must not all tell the same ones first.
class RoundRobinCursor
{
public:
    /// @p key differs between daemons.
    explicit RoundRobinCursor(std::uint64_t key);
    /// The next index below @p count, which must not be zero.
    std::size_t next(std::size_t count);

private:
    std::uint64_t turn_;
};

} // namespace Portpaddle
