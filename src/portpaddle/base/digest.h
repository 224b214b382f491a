// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Cryptographic digests for keys and for messages between daemons.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Portpaddle {

/// A SHA-256 message authentication code.
using MessageCode = std::array<std::uint8_t, 32>;

using Sha256Digest = std::array<std::uint8_t, 32>;

/// SHA-256 of several texts, each with its length, so that moving a boundary between two of them changes the digest.
Sha256Digest sha256OfParts(std::initializer_list<std::string_view> parts);
/// SHA-256 of @p text as lower-case hexadecimal.
std::string sha256Hex(std::string_view text);
/// HMAC-SHA-256 of @p message under @p key.
MessageCode messageCode(std::string_view key, std::string_view message);
/// Compares without telling by its running time where the texts differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace Portpaddle
