// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/answer_head_check.h"

#include "portpaddle/net/field_text.h"

#include <string_view>

namespace Portpaddle {

namespace {

// Longer than the names of the fields that frame a body, and than any value of theirs that has a meaning.
constexpr std::size_t maxKeptBytes = 64;

/// Returns @p value without the blanks around it, which don't belong to it.
std::string_view withoutBlanks(std::string_view value)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = value.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view() : value.substr(first, value.find_last_not_of(blanks) + 1 - first);
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
        name_.assign(1, byte);
        value_.clear();
        return byte == '\r' || isFieldNameByte(byte);
    case Part::Name:
        return acceptNameByte(byte);
    case Part::Value:
        return acceptValueByte(byte);
    case Part::ValueEnd:
        part_ = Part::LineBegin;
        framing_.add(name_, withoutBlanks(value_));
        return byte == '\n';
    case Part::HeadEnd:
        part_ = Part::Ended;
        return acceptHeadEnd(byte);
    case Part::Ended:
        break;
    }
    return true;
}

bool AnswerHeadCheck::hasEnded() const
{
    return part_ == Part::Ended;
}

unsigned AnswerHeadCheck::status() const
{
    return status_;
}

bool AnswerHeadCheck::acceptNameByte(char byte)
{
    part_ = byte == ':' ? Part::Value : Part::Name;
    if (byte != ':' && name_.size() < maxKeptBytes) {
        name_.push_back(byte);
    }
    return byte == ':' || isFieldNameByte(byte);
}

bool AnswerHeadCheck::acceptValueByte(char byte)
{
    part_ = byte == '\r' ? Part::ValueEnd : Part::Value;
    if (byte != '\r' && value_.size() < maxKeptBytes) {
        value_.push_back(byte);
    }
    return byte == '\r' || isFieldValueByte(byte);
}

bool AnswerHeadCheck::acceptHeadEnd(char byte) const
{
    return byte == '\n' && !framing_.hasUnknownCoding() && !framing_.hasUnknownLength();
}

// The form of the status line is for the reader to check.
void AnswerHeadCheck::takeStatusByte(char byte)
{
    constexpr unsigned base = 10;
    constexpr unsigned maxStatus = 999;
    part_ = byte == '\n' ? Part::LineBegin : Part::StatusLine;
    if (byte == ' ') {
        ++statusBlanks_;
    } else if (statusBlanks_ == 1 && byte >= '0' && byte <= '9' && status_ <= maxStatus) {
        status_ = status_ * base + static_cast<unsigned>(byte - '0');
    }
}

} // namespace Portpaddle
