// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Cryptographic digests of keys and of messages between daemons.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Portpaddle {

/// An HMAC-SHA-256 message authentication code.
using MessageCode = std::array<std::uint8_t, 32>;

using Sha256Digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of @p parts, each preceded by its length, so that moving a boundary between parts changes it.
Sha256Digest sha256OfParts(std::initializer_list<std::string_view> parts);
/// Returns the SHA-256 digest of @p text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);
/// Returns the HMAC-SHA-256 of @p message with @p key.
MessageCode messageCode(std::string_view key, std::string_view message);
/// Compares two texts; the running time does not depend on where texts of the same length differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace Portpaddle
