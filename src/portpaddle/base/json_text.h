// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// JSON that others wrote: peers, other writers of the store, callers.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace Portpaddle {

/// Maximum nesting of a text that is read; no message or record has a tenth of it.
inline constexpr std::size_t maxJsonDepth = 64;

/// Returns the value that @p text denotes; a discarded one if it denotes none, or is nested deeper than maxJsonDepth.
nlohmann::json parseJson(const std::string &text);
/// Like parseJson(), but throws nlohmann::json::exception in place of returning a discarded value.
nlohmann::json parseJsonOrThrow(const std::string &text);

} // namespace Portpaddle
