// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The records by which requests stay quarantined when all daemons restart.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/fleet/record_writer.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// Returns the record that quarantines @p request on the platform.
LeasedRecord quarantineRecord(const RequestFingerprint &request);
/// Returns the request that the record at @p key quarantines; no value if it is not the key of such a record.
std::optional<RequestFingerprint> requestHeldBy(const std::string &key);

} // namespace Portpaddle
