// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Beast's views of text as the standard library's.
#pragma once

#include <boost/beast/core/string_type.hpp>

#include <string_view>

namespace Portpaddle {

/// The same characters; valid as long as @p text is.
inline std::string_view viewOf(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace Portpaddle
