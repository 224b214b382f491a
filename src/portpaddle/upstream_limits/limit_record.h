// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The records from which daemons learn the limits of upstreams when all daemons start at the same time.
#pragma once

#include "portpaddle/fleet/record_writer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Portpaddle {

/// The content of a record.
struct StoredLimit
{
    /// Hash of the id of the upstream's incarnation.
    std::uint64_t upstream = 0;
    /// Requests a second; 0 if the limit has ended.
    double perSecond = 0;
};

/// Returns the record of @p limit to write to the platform.
LeasedRecord limitRecord(const StoredLimit &limit);
/// Returns the hash of the upstream's incarnation in @p key; no value if it is not the key of a limit.
std::optional<std::uint64_t> upstreamOfLimitKey(const std::string &key);
/// Returns the limit in a record; no value if @p key or @p text is not that of a limit.
std::optional<StoredLimit> readLimitRecord(const std::string &key, const std::string &text);

} // namespace Portpaddle
