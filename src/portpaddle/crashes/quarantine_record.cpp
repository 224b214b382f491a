// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/quarantine_record.h"

#include "portpaddle/crashes/quarantine.h"

#include <string_view>

namespace Portpaddle {

namespace {

constexpr std::string_view keyPrefix = "portpaddle/quarantine/";
// Only the existence of the record matters; the log tells operators about the request.
constexpr const char *recordText = "{}";

} // namespace

LeasedRecord quarantineRecord(const RequestFingerprint &request)
{
    return { std::string(keyPrefix) + request.hex(), recordText, quarantineTime, LogEvent::QuarantineNotWritten };
}

std::optional<RequestFingerprint> requestHeldBy(const std::string &key)
{
    return key.starts_with(keyPrefix) ? fingerprintFromHex(std::string_view(key).substr(keyPrefix.size())) : std::nullopt;
}

} // namespace Portpaddle
