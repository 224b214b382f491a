// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The form of rollout records in the store.
#pragma once

#include "portpaddle/rollouts/rollout.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// Returns the key of the record of @p service.
std::string rolloutRecordKey(const std::string &service);
/// Returns the service whose record is stored under @p key; no value if @p key is not that of a record.
std::optional<std::string> serviceOfRolloutKey(const std::string &key);
std::string encodeRolloutRecord(const RolloutRecord &record);
/// Decodes the record of @p service; no value if @p text is malformed.
std::optional<RolloutRecord> decodeRolloutRecord(const std::string &service, const std::string &text, std::uint64_t revision);

} // namespace Portpaddle
