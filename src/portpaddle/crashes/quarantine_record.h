// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The records by which requests stay held when all daemons restart.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/fleet/record_writer.h"

#include <optional>
#include <string>

namespace Portpaddle {

LeasedRecord quarantineRecord(const RequestFingerprint &request);
/// The request that the record at @p key holds; no value when the key is another one.
std::optional<RequestFingerprint> requestHeldBy(const std::string &key);

} // namespace Portpaddle
