// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/quarantine_record.h"

#include "portpaddle/crashes/quarantine.h"

#include <string_view>

namespace Portpaddle {

namespace {

constexpr std::string_view prefix = "portpaddle/quarantine/";
// Only that the record is there counts; operators read in the log what it is about.
constexpr const char *recordText = "{}";

} // namespace

LeasedRecord quarantineRecord(const RequestFingerprint &request)
{
    return { std::string(prefix) + request.hex(), recordText, quarantineTime, LogEvent::QuarantineNotWritten };
}

std::optional<RequestFingerprint> requestHeldBy(const std::string &key)
{
    return key.starts_with(prefix) ? fingerprintFromHex(std::string_view(key).substr(prefix.size())) : std::nullopt;
}

} // namespace Portpaddle
