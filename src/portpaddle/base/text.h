// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Text utilities.
#pragma once

#include <algorithm>
#include <cctype>
#include <string>

namespace Portpaddle {

/// Returns @p text with ASCII letters in lower case, for comparing header names.
inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace Portpaddle
