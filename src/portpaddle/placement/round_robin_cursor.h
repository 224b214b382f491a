// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The order in which a daemon sends digests to others.
#pragma once

#include <cstddef>
#include <cstdint>

namespace Portpaddle {

/// Iterates over a list round-robin from an offset that depends on the daemon: daemons that start together must not all send to
/// the same ones first.
class RoundRobinCursor
{
public:
    /// @p key differs between daemons.
    explicit RoundRobinCursor(std::uint64_t key);
    /// Returns the next index below @p count, which must not be zero.
    std::size_t next(std::size_t count);

private:
    std::uint64_t position_;
};

} // namespace Portpaddle
