// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/answer_head_check.h"

#include <string_view>

namespace Portpaddle {

namespace {

/// Whether a field's name may have @p byte (tchar of RFC 9110, section 5.6.2).
bool isNameByte(char byte)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return isLetter || (byte >= '0' && byte <= '9') || marks.find(byte) != std::string_view::npos;
}

bool isControlByte(char byte)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr char deleteByte = 0x7f;
    return static_cast<unsigned char>(byte) < firstPrintable || byte == deleteByte;
}

} // namespace

bool AnswerHeadCheck::accept(char byte)
{
    switch (part_) {
    case Part::StatusLine:
        takeStatusByte(byte);
        return true;
    case Part::LineBegin:
        part_ = byte == '\r' ? Part::HeadEnd : Part::Name;
        return byte == '\r' || isNameByte(byte);
    case Part::Name:
        return acceptNameByte(byte);
    case Part::Value:
        part_ = byte == '\r' ? Part::ValueEnd : Part::Value;
        return byte == '\r' || byte == '\t' || !isControlByte(byte);
    case Part::ValueEnd:
        part_ = Part::LineBegin;
        return byte == '\n';
    case Part::HeadEnd:
        part_ = Part::Ended;
        return byte == '\n';
    case Part::Ended:
        break;
    }
    return true;
}

bool AnswerHeadCheck::hasEnded() const
{
    return part_ == Part::Ended;
}

bool AnswerHeadCheck::isInterim() const
{
    return isInterim_;
}

bool AnswerHeadCheck::acceptNameByte(char byte)
{
    part_ = byte == ':' ? Part::Value : Part::Name;
    return byte == ':' || isNameByte(byte);
}

// What the status line says is for the reader; here only whether it begins an interim head, whose first digit is 1.
void AnswerHeadCheck::takeStatusByte(char byte)
{
    if (!statusBegan_ && lastStatusByte_ == ' ') {
        statusBegan_ = true;
        isInterim_ = byte == '1';
    }
    lastStatusByte_ = byte;
    part_ = byte == '\n' ? Part::LineBegin : Part::StatusLine;
}

} // namespace Portpaddle
