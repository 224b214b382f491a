// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The lines of a text/event-stream.
#pragma once

#include <cstddef>
#include <string_view>

namespace Portpaddle {

/// A line ends with LF, CR LF or CR.
inline constexpr std::string_view lineEnds = "\r\n";
inline constexpr std::string_view idField = "id:";
inline constexpr std::string_view dataField = "data:";

/// Whether a line of @p text begins at @p at.
inline bool isLineBegin(std::string_view text, std::size_t at)
{
    return at == 0 || lineEnds.find(text[at - 1]) != std::string_view::npos;
}

} // namespace Portpaddle
