// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Identifies a request by its host, path, caller and body, so that each attempt has the same fingerprint.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

struct CallerRequest;

/// The first 128 bits of a SHA-256 digest of a request.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
    /// Returns the fingerprint as 32 hexadecimal digits.
    std::string hex() const;
};

/// Returns the fingerprint of @p request. @p caller is the organisation of the request, or its credentials if the organisation is
/// not known.
RequestFingerprint fingerprintOf(const CallerRequest &request, std::string_view caller);
/// Parses a fingerprint; no value if @p hex does not have the form of RequestFingerprint::hex().
std::optional<RequestFingerprint> fingerprintFromHex(std::string_view hex);

} // namespace Portpaddle
