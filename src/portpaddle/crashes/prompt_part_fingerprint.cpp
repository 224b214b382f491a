// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/prompt_part_fingerprint.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/callers/caller_request.h"

#include <cstring>

namespace Portpaddle {

namespace {

// Distinguishes the digest from that of a request.
constexpr std::string_view purpose = "prompt part";

} // namespace

std::vector<RequestFingerprint> sharedPartsOf(std::string_view service, std::string_view partList)
{
    std::vector<std::string_view> names = promptPartNames(partList);
    if (!names.empty()) {
        names.pop_back();
    }
    std::vector<RequestFingerprint> parts;
    parts.reserve(names.size());
    for (const std::string_view name : names) {
        const Sha256Digest digest = sha256OfParts({ purpose, service, name });
        RequestFingerprint part;
        std::memcpy(&part.high, digest.data(), sizeof part.high);
        std::memcpy(&part.low, digest.data() + sizeof part.high, sizeof part.low);
        parts.push_back(part);
    }
    return parts;
}

} // namespace Portpaddle
