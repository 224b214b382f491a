// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What names and values of header fields may be (RFC 9110, section 5).
#pragma once

#include <string_view>

namespace Portpaddle {

/// Whether a field's name may have @p byte.
bool isFieldNameByte(char byte);
/// Whether a field's value may have @p byte.
bool isFieldValueByte(char byte);
/// Whether @p text is received as it was sent if it is the value of a field: no control bytes, and no blanks at its ends. The
/// HTTP libraries write any value as it is, line ends included.
bool isFieldValue(std::string_view text);

} // namespace Portpaddle
