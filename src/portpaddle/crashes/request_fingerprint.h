// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A name for a request that is the same each time it comes: made of its path, its caller and its body.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

struct CallerRequest;

/// The first 128 bits of a SHA-256 digest.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
    /// 32 hexadecimal digits.
    std::string hex() const;
};

/// @p caller is the organisation whose request it is, or the credentials that came with it where nobody's organisation is known.
RequestFingerprint fingerprintOf(const CallerRequest &request, std::string_view caller);
/// No value if @p hex is not what RequestFingerprint::hex() makes.
std::optional<RequestFingerprint> fingerprintFromHex(std::string_view hex);

} // namespace Portpaddle
