// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/request_fingerprint.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/callers/caller_request.h"
#include "portpaddle/net/beast_text.h"

#include <fmt/format.h>

#include <charconv>
#include <cstring>

namespace Portpaddle {

namespace {

constexpr std::size_t halfDigits = 16;

bool readHalf(std::string_view digits, std::uint64_t &value)
{
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, halfDigits);
    return parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
}

} // namespace

std::string RequestFingerprint::hex() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

// The digest has to be collision resistant: anybody who found a second request with the same one could have the requests of
// others refused.
RequestFingerprint fingerprintOf(const CallerRequest &request, std::string_view caller)
{
    const Sha256Digest digest = sha256OfParts({ request.host, viewOf(request.message.target()), caller, request.message.body() });
    RequestFingerprint fingerprint;
    std::memcpy(&fingerprint.high, digest.data(), sizeof fingerprint.high);
    std::memcpy(&fingerprint.low, digest.data() + sizeof fingerprint.high, sizeof fingerprint.low);
    return fingerprint;
}

std::optional<RequestFingerprint> fingerprintFromHex(std::string_view hex)
{
    RequestFingerprint fingerprint;
    const bool valid = hex.size() == 2 * halfDigits && readHalf(hex.substr(0, halfDigits), fingerprint.high)
        && readHalf(hex.substr(halfDigits), fingerprint.low);
    return valid ? std::optional(fingerprint) : std::nullopt;
}

} // namespace Portpaddle
