// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The records by which daemons that start all at once know the limits that upstreams have named.
#pragma once

#include "portpaddle/fleet/record_writer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Portpaddle {

/// What a record says.
struct StoredLimit
{
    /// A hash of the upstream's life.
    std::uint64_t upstream = 0;
    /// Requests a second; zero where the limit has ended.
    double perSecond = 0;
};

LeasedRecord limitRecord(const StoredLimit &limit);
/// No value when the key is another one.
std::optional<std::uint64_t> upstreamOfLimitKey(const std::string &key);
/// No value when @p text is no record of a limit.
std::optional<StoredLimit> readLimitRecord(const std::string &key, const std::string &text);

} // namespace Portpaddle
