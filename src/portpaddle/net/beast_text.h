// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Converts Beast's string views to the standard library's.
#pragma once

#include <boost/beast/core/string_type.hpp>

#include <string_view>

namespace Portpaddle {

/// Returns a view of the same characters, valid as long as @p text is.
inline std::string_view viewOf(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace Portpaddle
