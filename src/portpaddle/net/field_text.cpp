// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/field_text.h"

#include <algorithm>

namespace Portpaddle {

namespace {

bool isBlank(char byte)
{
    return byte == ' ' || byte == '\t';
}

} // namespace

bool isFieldNameByte(char byte)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return isLetter || (byte >= '0' && byte <= '9') || marks.find(byte) != std::string_view::npos;
}

bool isFieldValueByte(char byte)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr char deleteByte = 0x7f;
    return byte == '\t' || (static_cast<unsigned char>(byte) >= firstPrintable && byte != deleteByte);
}

bool isFieldValue(std::string_view text)
{
    const bool hasBlankEnd = !text.empty() && (isBlank(text.front()) || isBlank(text.back()));
    return !hasBlankEnd && std::all_of(text.begin(), text.end(), isFieldValueByte);
}

} // namespace Portpaddle
